//! Checkpoints near an engine.

use std::collections;

use crate::announce;

/// Keeps the checkpoints used last, up to a number.
#[derive(Debug, Default)]
pub(crate) struct CheckpointCache {
    capacity: usize,
    checkpoints: collections::VecDeque<(String, String)>,
}

impl CheckpointCache {
    /// Makes an empty cache.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            checkpoints: collections::VecDeque::new(),
        }
    }

    /// Tells whether a checkpoint is cached.
    pub(crate) fn holds(&self, model: &str, version: &str) -> bool {
        self.checkpoints
            .iter()
            .any(|(held_model, held_version)| held_model == model && held_version == version)
    }

    /// Caches a checkpoint; the one used longest ago makes room.
    pub(crate) fn insert(&mut self, model: &str, version: &str) {
        let checkpoint = (model.to_owned(), version.to_owned());
        self.checkpoints.retain(|held| *held != checkpoint);
        self.checkpoints.push_back(checkpoint);
        while self.checkpoints.len() > self.capacity {
            self.checkpoints.pop_front();
        }
    }

    /// Lists the checkpoints, as those of `tier`.
    pub(crate) fn list(&self, tier: announce::CacheTier) -> Vec<announce::CachedModel> {
        let cached = |(model, version): &(String, String)| announce::CachedModel {
            model: model.clone(),
            version: version.clone(),
            tier,
        };
        self.checkpoints.iter().map(cached).collect()
    }
}
