//! Replies to operators' calls.

use serde::{Deserialize, Serialize};

/// The reply to an operator's call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// The call succeeded.
    Done {
        /// The body of the reply, as a JSON document.
        body: String,
    },
    /// The call failed, or its outcome is unknown.
    Failed(OperatorError),
}

/// The error that an operator's call ended with.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OperatorError {
    /// The kind of error.
    pub kind: OperatorErrorKind,
    /// The attempted action and advice for the operator.
    pub message: String,
    /// Details, as a JSON document.
    #[serde(default)]
    pub details: Option<String>,
}

/// The kind of error that an operator's call ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorErrorKind {
    /// The request is not valid; nothing changed.
    Invalid,
    /// A concurrent change was applied first; nothing changed.
    Conflict,
    /// The object does not exist; nothing changed.
    NotFound,
    /// No leader is reachable; nothing changed.
    NoLeader,
    /// The change may or may not have been applied.
    OutcomeUnknown,
    /// The call cannot be carried out now; nothing changed.
    Refused,
}
