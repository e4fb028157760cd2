//! Action of an order to an engine.

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Action that an engine is ordered to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(name::ModelName),
    /// Unload a model after its runs have ended.
    UnloadModel(name::ModelName),
    /// Load an adapter of a model that the engine holds.
    LoadAdapter(domain::HeldAdapter),
    /// Unload an adapter.
    UnloadAdapter(domain::HeldAdapter),
}

impl OrderAction {
    /// Returns the model that the order affects.
    #[must_use]
    pub fn model(&self) -> &name::ModelName {
        match self {
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
            Self::LoadAdapter(held) | Self::UnloadAdapter(held) => &held.model,
        }
    }

    /// Returns the adapter that the order affects, if any.
    #[must_use]
    pub fn adapter(&self) -> Option<&domain::HeldAdapter> {
        match self {
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
            Self::LoadAdapter(held) | Self::UnloadAdapter(held) => Some(held),
        }
    }

    /// Returns whether the receipt confirms the order well enough for the next order to depend on
    /// it.
    ///
    /// An unload that was only accepted still waits for runs to end, so its slot is still occupied.
    #[must_use]
    pub fn is_completed_by(&self, receipt: fleet::OrderReceipt) -> bool {
        match self {
            Self::LoadModel(_) | Self::LoadAdapter(_) => matches!(
                receipt,
                fleet::OrderReceipt::Accepted | fleet::OrderReceipt::Done
            ),
            Self::UnloadModel(_) | Self::UnloadAdapter(_) => receipt == fleet::OrderReceipt::Done,
        }
    }

    /// Returns whether the order is for a model rather than an adapter.
    #[must_use]
    pub fn is_about_model(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::UnloadModel(_))
    }
}
