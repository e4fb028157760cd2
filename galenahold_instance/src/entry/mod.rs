//! The callers' face: from a request to its answer.

mod attempt_rule;
mod caller_face;
mod caller_identity;
mod entry_desk;
mod event_scanner;
mod exchange_check;
mod header_filter;
mod key_guard;
mod key_scrubber;
mod model_call;
mod model_desk;
mod model_request;
mod model_stream;
mod order_call;
mod order_digest;
mod request_end;
mod service_call;
mod service_desk;

pub(crate) use attempt_rule::AttemptRule;
pub(crate) use caller_face::CallerFace;
pub(crate) use caller_identity::CallerIdentity;
pub(crate) use entry_desk::{DeskParts, EntryDesk};
pub(crate) use event_scanner::{EventKind, EventScanner, UsageDocument};
pub(crate) use exchange_check::{REQUEST_ID_HEADER, check_exchange};
pub(crate) use header_filter::{IDEMPOTENCY_HEADER, headers_to_backend, headers_to_caller};
pub(crate) use key_guard::KeyGuard;
pub(crate) use key_scrubber::KeyScrubber;
pub(crate) use model_call::ModelCall;
pub(crate) use model_desk::ModelDesk;
pub(crate) use model_request::ModelRequest;
pub(crate) use model_stream::ModelStream;
pub(crate) use order_call::OrderCall;
pub(crate) use order_digest::order_digest;
pub(crate) use request_end::{EndSubject, RequestEnd};
pub(crate) use service_call::ServiceCall;
pub(crate) use service_desk::ServiceDesk;
