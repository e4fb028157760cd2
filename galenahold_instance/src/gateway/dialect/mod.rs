//! The words of a platform.

mod answer_facts;
mod attempt_head;
mod caller_call;
mod control_request;
mod dialect_error;
mod fleet_dialect;
mod order_head;

pub use answer_facts::AnswerFacts;
pub use attempt_head::AttemptHead;
pub use caller_call::{CallerCall, PromptPart};
pub use control_request::ControlRequest;
pub use dialect_error::DialectError;
pub use fleet_dialect::FleetDialect;
pub use order_head::OrderHead;
