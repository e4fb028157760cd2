//! What the check of a valid settings file prints.

use serde::Serialize;

/// What the check of a valid settings file prints.
#[derive(Debug, Serialize)]
pub(crate) struct CheckAnswer {
    /// Whether the settings are valid.
    pub(crate) valid: bool,
    /// The cluster.
    pub(crate) cluster: String,
    /// The instance.
    pub(crate) instance: String,
}
