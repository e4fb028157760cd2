//! Serves callers' requests: authentication, routing, attempts and answers.

mod arrived_request;
mod attempt_call;
mod attempt_policy;
mod attempt_runner;
mod attempt_state;
mod caller_api;
mod caller_identity;
mod entry_handler;
mod event_scanner;
mod exchange_check;
mod header_filter;
mod json_depth;
mod key_guard;
mod key_redactor;
mod model_call;
mod model_handler;
mod model_request;
mod model_stream;
mod order_call;
mod order_digest;
mod request_recorder;
mod service_call;
mod service_handler;

use arrived_request::ArrivedRequest;

pub(crate) use attempt_call::AttemptCall;
pub(crate) use attempt_policy::AttemptPolicy;
pub(crate) use attempt_runner::{AttemptRunner, ReadyAttempt, fail_attempt, run_while_authorized};
pub(crate) use attempt_state::{AttemptState, AttemptStop, FailedAttempt};
pub(crate) use caller_api::CallerApi;
pub(crate) use caller_identity::CallerIdentity;
pub(crate) use entry_handler::{EntryHandler, HandlerParts};
pub(crate) use event_scanner::{EventKind, EventScanner, UsageDocument, event_length};
pub(crate) use exchange_check::{
    REQUEST_ID_HEADER, check_exchange, refusal_error, stated_pause, states_leaving,
};
pub(crate) use header_filter::{IDEMPOTENCY_HEADER, headers_to_backend, headers_to_caller};
pub(crate) use json_depth::json_depth_exceeds;
pub(crate) use key_guard::KeyGuard;
pub(crate) use key_redactor::KeyRedactor;
pub(crate) use model_call::ModelCall;
pub(crate) use model_handler::ModelHandler;
pub(crate) use model_request::ModelRequest;
pub(crate) use model_stream::ModelStream;
pub(crate) use order_call::OrderCall;
pub(crate) use order_digest::order_digest;
pub(crate) use request_recorder::{RequestRecorder, RequestSubject};
pub(crate) use service_call::ServiceCall;
pub(crate) use service_handler::ServiceHandler;
