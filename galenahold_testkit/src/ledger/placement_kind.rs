//! What a load or unload order asked for.

use serde::{Deserialize, Serialize};

/// What an order asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementKind {
    /// Load a base model.
    LoadModel,
    /// Unload a base model.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
}
