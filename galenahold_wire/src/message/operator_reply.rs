//! The answer to an operator's call.

use serde::{Deserialize, Serialize};

/// The answer to an operator's call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorReply {
    /// It was done; the body of the answer as a JSON document.
    Done {
        /// The JSON document.
        body: String,
    },
    /// It was not done.
    Failed(OperatorError),
}

/// Why an operator's call was not done.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OperatorError {
    /// The kind.
    pub kind: OperatorErrorKind,
    /// What was attempted and what to do.
    pub message: String,
    /// Details as a JSON document.
    #[serde(default)]
    pub details: Option<String>,
}

/// The kinds of an operator's errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorErrorKind {
    /// The request is not valid; nothing changed.
    Invalid,
    /// Another change came first; nothing changed.
    Conflict,
    /// There is no such thing; nothing changed.
    NotFound,
    /// No leader can be reached; nothing changed.
    NoLeader,
    /// The change may have been made.
    OutcomeUnknown,
    /// It cannot be done now; nothing changed.
    Refused,
}
