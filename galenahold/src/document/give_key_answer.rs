//! A key, as it is shown once.

use serde::{Deserialize, Serialize};

/// A key, as it is shown once.
#[derive(Deserialize, Serialize)]
pub(crate) struct GiveKeyAnswer {
    /// The public part.
    pub(crate) id: String,
    /// The key as callers send it.
    pub(crate) key: String,
    /// The revision that holds it.
    pub(crate) revision: u64,
}
