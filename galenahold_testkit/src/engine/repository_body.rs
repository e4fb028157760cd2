//! The body of a Triton-style load or unload.

use serde::Deserialize;

/// The body of a Triton-style load or unload.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct RepositoryBody {
    /// What is loaded.
    #[serde(default)]
    pub(crate) parameters: RepositoryParameters,
}

/// Version, size and number of an order.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct RepositoryParameters {
    /// The version, empty for any.
    #[serde(default)]
    pub(crate) version: String,
    /// Memory it takes.
    #[serde(default)]
    pub(crate) bytes: u64,
    /// The number of the order.
    #[serde(default)]
    pub(crate) order: u64,
}
