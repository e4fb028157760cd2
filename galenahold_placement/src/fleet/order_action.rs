//! What an engine is to do.

use galenahold_domain::fleet;
use galenahold_domain::name;

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(name::ModelName),
    /// Unload a model once its runs have ended.
    UnloadModel(name::ModelName),
    /// Load an adapter of a model that it holds.
    LoadAdapter(fleet::HeldAdapter),
    /// Unload an adapter.
    UnloadAdapter(fleet::HeldAdapter),
}

impl OrderAction {
    /// Returns the model that the order is about.
    #[must_use]
    pub fn model(&self) -> &name::ModelName {
        match self {
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
            Self::LoadAdapter(held) | Self::UnloadAdapter(held) => &held.model,
        }
    }

    /// Returns whether it is about a model rather than an adapter.
    #[must_use]
    pub fn is_about_model(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::UnloadModel(_))
    }
}
