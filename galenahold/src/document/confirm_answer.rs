//! The answer to a confirmed plan.

use serde::{Deserialize, Serialize};

/// The answer to a confirmed plan.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ConfirmAnswer {
    /// The revision that is in force.
    pub(crate) revision: u64,
    /// The request id under which it was asked.
    #[serde(default)]
    pub(crate) request: String,
}
