//! Metadata of a backend server's answer.

use std::time;

use crate::gateway::dialect;

/// Metadata that the dialect parses from the head of a backend server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// The request that the answer belongs to.
    pub identity: dialect::AnswerIdentity,
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// The server is not the intended one, or does not hold the model or adapter that the request
    /// needs.
    pub misplaced: bool,
    /// How long a server that turned the request away wants no other from this instance.
    pub pause: Option<time::Duration>,
    /// The server leaves and takes no new requests.
    pub leaving: bool,
}
