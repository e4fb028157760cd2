//! A model or adapter in memory.

use crate::announce;

/// A model, or an adapter on one, in memory.
#[derive(Debug, Clone)]
pub(crate) struct HeldModel {
    /// What is announced of it.
    pub(crate) loaded: announce::LoadedModel,
    /// Requests that run or wait on it.
    pub(crate) requests: usize,
}

impl HeldModel {
    /// Returns the name that requests use.
    pub(crate) fn name(&self) -> &str {
        self.loaded.adapter.as_deref().unwrap_or(&self.loaded.model)
    }

    /// Tells whether it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.loaded.state == announce::ReplicaState::Ready
    }
}
