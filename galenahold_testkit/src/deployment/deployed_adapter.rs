//! An adapter of a deployment.

use serde::{Deserialize, Serialize};

/// An adapter on a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeployedAdapter {
    /// Its name.
    pub name: String,
    /// Memory it takes.
    pub bytes: u64,
}
