//! The part of a backend server's answer that is kept for repeats of an order.

use serde::{Deserialize, Serialize};

/// The recorded answer of an order, which each repeat of the order gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The value of the header `content-type`.
    pub content_type: Option<String>,
    /// The body; empty if it exceeded the ledger's limits, see [`OrderAnswer::truncated`].
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether the body was dropped because it exceeded the ledger's limits.
    #[serde(default)]
    pub truncated: bool,
}

impl OrderAnswer {
    /// Returns the number of bytes that count against the ledger's limits.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        self.body.len() + self.content_type.as_ref().map_or(0, String::len)
    }

    /// Returns the answer without its body and content type, marked as truncated.
    #[must_use]
    pub(crate) fn without_body(self) -> Self {
        Self {
            status: self.status,
            content_type: None,
            body: Vec::new(),
            truncated: true,
        }
    }
}
