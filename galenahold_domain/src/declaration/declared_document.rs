//! An operator's document as it came.

use std::sync;

use serde::{Deserialize, Serialize};

/// An operator's document as it came, under the operator's number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredDocument {
    /// The operator's number; the highest is in force.
    pub number: u64,
    /// The document's bytes.
    pub content: sync::Arc<serde_bytes::ByteBuf>,
}
