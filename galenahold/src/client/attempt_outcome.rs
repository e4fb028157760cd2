//! What came of sending a call once.

use crate::document;

/// What came of sending a call once.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The answer.
    Answered(serde_json::Value),
    /// A refusal with its HTTP status.
    Refused(u16, Box<document::RefusalDocument>),
    /// The call provably changed nothing; why it failed.
    NotApplied(String),
    /// The call may have been applied; why there is no answer.
    Lost(String),
}
