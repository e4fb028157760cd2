//! The model weights that an engine can load without the weight store.

use serde::{Deserialize, Serialize};

use crate::name;

/// The models whose weights are cached at an engine's host, apart from the loaded ones; their order
/// has no meaning.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    in_memory: Vec<name::ModelName>,
    on_disk: Vec<name::ModelName>,
}

impl WeightCopies {
    /// Creates the set of weights cached in host memory and on disk.
    #[must_use]
    pub fn new(mut in_memory: Vec<name::ModelName>, mut on_disk: Vec<name::ModelName>) -> Self {
        // Engines list copies by their last use; a new order alone is not a change.
        in_memory.sort_unstable();
        on_disk.sort_unstable();
        Self { in_memory, on_disk }
    }

    /// Returns whether the model's weights are cached in host memory.
    #[must_use]
    pub fn are_in_memory(&self, model: &name::ModelName) -> bool {
        self.in_memory.binary_search(model).is_ok()
    }

    /// Returns whether the model's weights are cached on disk.
    #[must_use]
    pub fn are_on_disk(&self, model: &name::ModelName) -> bool {
        self.on_disk.binary_search(model).is_ok()
    }

    /// Returns whether the model's weights are cached in host memory or on disk.
    #[must_use]
    pub fn are_cached(&self, model: &name::ModelName) -> bool {
        self.are_in_memory(model) || self.are_on_disk(model)
    }

    /// Returns the models whose weights are cached, those in both places twice.
    pub fn cached(&self) -> impl Iterator<Item = &name::ModelName> {
        self.in_memory.iter().chain(&self.on_disk)
    }

    /// Returns the number of models whose weights are cached on disk.
    #[must_use]
    pub fn on_disk_count(&self) -> usize {
        self.on_disk.len()
    }
}
