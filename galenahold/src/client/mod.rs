//! The operators' client: one call at a time over HTTP, resent only where that is safe.

mod attempt_outcome;
mod call_error;
mod call_history;
mod operator_call;
mod operator_client;
mod repeat_rule;
mod retry_pause;

use attempt_outcome::AttemptOutcome;
pub(crate) use call_error::CallError;
use call_history::CallHistory;
pub(crate) use operator_call::OperatorCall;
pub(crate) use operator_client::OperatorClient;
pub(crate) use repeat_rule::RepeatRule;
use retry_pause::RetryPause;
