//! Where weights lie near an engine.

use serde::{Deserialize, Serialize};

use crate::name;

/// The models whose weights lie near an engine, beside those that it holds; without an order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCopies {
    in_memory: Vec<name::ModelName>,
    on_disk: Vec<name::ModelName>,
}

impl WeightCopies {
    /// Creates the copies in an engine's host memory and on its disk.
    #[must_use]
    pub fn new(mut in_memory: Vec<name::ModelName>, mut on_disk: Vec<name::ModelName>) -> Self {
        // Engines list copies by their last use, which is no change of where they lie.
        in_memory.sort_unstable();
        on_disk.sort_unstable();
        Self { in_memory, on_disk }
    }

    /// Returns whether a model's weights lie in the host's memory.
    #[must_use]
    pub fn are_in_memory(&self, model: &name::ModelName) -> bool {
        self.in_memory.binary_search(model).is_ok()
    }

    /// Returns whether a model's weights lie on the disk.
    #[must_use]
    pub fn are_on_disk(&self, model: &name::ModelName) -> bool {
        self.on_disk.binary_search(model).is_ok()
    }

    /// Returns whether a model's weights lie in either place.
    #[must_use]
    pub fn are_near(&self, model: &name::ModelName) -> bool {
        self.are_in_memory(model) || self.are_on_disk(model)
    }

    /// Returns how many models lie on the disk.
    #[must_use]
    pub fn on_disk_count(&self) -> usize {
        self.on_disk.len()
    }
}
