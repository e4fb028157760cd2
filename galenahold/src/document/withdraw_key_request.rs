//! The document that withdraws a key.

use serde::Serialize;

/// The document that withdraws a key.
#[derive(Debug, Serialize)]
pub(crate) struct WithdrawKeyRequest<'a> {
    /// The request id.
    pub(crate) request: &'a str,
    /// The key's public part.
    pub(crate) id: &'a str,
}
