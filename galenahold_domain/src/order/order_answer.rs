//! The recorded answer of an order.

use serde::{Deserialize, Serialize};

/// The recorded answer of an order, given again to each repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The header `content-type`.
    pub content_type: Option<String>,
    /// The body; it is not kept above the ledger's limit, see [`OrderAnswer::truncated`].
    pub body: Vec<u8>,
    /// Whether the body was too large to keep.
    #[serde(default)]
    pub truncated: bool,
}
