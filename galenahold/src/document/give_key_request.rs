//! The document that asks for a key.

use serde::Serialize;

/// The document that asks for a key.
#[derive(Debug, Serialize)]
pub(crate) struct GiveKeyRequest<'a> {
    /// The request id.
    pub(crate) request: &'a str,
    /// The team whose requests the key is to admit.
    pub(crate) team: &'a str,
}
