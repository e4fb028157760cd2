//! What kind of backend server it is.

use serde::{Deserialize, Serialize};

/// What kind of backend server it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}
