//! Interface to the messages of a platform.

mod answer_identity;
mod answer_metadata;
mod attempt_metadata;
mod call_metadata;
mod call_sizes;
mod control_request;
mod dialect_error;
mod fleet_dialect;
mod order_metadata;

pub use answer_identity::AnswerIdentity;
pub use answer_metadata::AnswerMetadata;
pub use attempt_metadata::AttemptMetadata;
pub use call_metadata::{CallMetadata, PromptPart};
pub use call_sizes::CallSizes;
pub use control_request::ControlRequest;
pub use dialect_error::DialectError;
pub use fleet_dialect::FleetDialect;
pub use order_metadata::OrderMetadata;
