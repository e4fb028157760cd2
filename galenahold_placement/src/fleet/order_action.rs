//! What an engine is to do.

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(name::ModelName),
    /// Unload a model once its runs have ended.
    UnloadModel(name::ModelName),
    /// Load an adapter of a model that it holds.
    LoadAdapter(domain::HeldAdapter),
    /// Unload an adapter.
    UnloadAdapter(domain::HeldAdapter),
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

    /// Returns the adapter that the order is about, if it is about one.
    #[must_use]
    pub fn adapter(&self) -> Option<&domain::HeldAdapter> {
        match self {
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
            Self::LoadAdapter(held) | Self::UnloadAdapter(held) => Some(held),
        }
    }

    /// Returns whether an engine that gave this receipt has done what the next order builds on.
    ///
    /// An unload that was only accepted waits for runs to end: its place is still taken.
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

    /// Returns whether it is about a model rather than an adapter.
    #[must_use]
    pub fn is_about_model(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::UnloadModel(_))
    }
}
