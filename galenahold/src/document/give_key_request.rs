//! The document that asks for a key.

use serde::Serialize;

/// The document that asks for a key.
#[derive(Debug, Serialize)]
pub(crate) struct GiveKeyRequest<'a> {
    /// The request id.
    pub(crate) request: &'a str,
    /// A revision before the first try.
    pub(crate) base: u64,
    /// The team whose requests the key is to admit.
    pub(crate) team: &'a str,
}
