//! What kind of backend server announces itself.

use serde::{Deserialize, Serialize};

/// What kind of backend server announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}
