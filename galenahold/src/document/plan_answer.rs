//! A plan, as the operators' face answers it.

use serde::{Deserialize, Serialize};

/// A plan, as the operators' face answers it.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PlanAnswer {
    /// The revision that the plan was made against.
    pub(crate) base: u64,
    /// The digest of the steps.
    pub(crate) digest: String,
    /// The steps, each a text or a document.
    pub(crate) steps: Vec<serde_json::Value>,
}
