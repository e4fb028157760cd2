//! What an engine holds in its memory.

use super::FencingNumber;
use super::checkpoint_cache::CheckpointCache;
use super::held_model::HeldModel;
use crate::announce;

/// Holds models, adapters, cached checkpoints and the highest fencing number.
#[derive(Debug, Default)]
pub(crate) struct ModelTable {
    held: Vec<HeldModel>,
    memory_cache: CheckpointCache,
    disk_cache: CheckpointCache,
    highest_fencing: Option<FencingNumber>,
}

impl ModelTable {
    /// Makes an empty table that caches so many checkpoints.
    pub(crate) fn new(memory_checkpoints: usize, disk_checkpoints: usize) -> Self {
        Self {
            memory_cache: CheckpointCache::new(memory_checkpoints),
            disk_cache: CheckpointCache::new(disk_checkpoints),
            ..Self::default()
        }
    }

    /// Notes a fencing number; tells whether it is not lower than the highest seen.
    pub(crate) fn admit_fencing(&mut self, fencing: FencingNumber) -> bool {
        let highest = self.highest_fencing.unwrap_or(fencing);
        self.highest_fencing = Some(highest.max(fencing));
        fencing >= highest
    }

    /// Lists what is held.
    pub(crate) fn loaded(&self) -> Vec<announce::LoadedModel> {
        self.held.iter().map(|held| held.loaded.clone()).collect()
    }

    /// Lists the cached checkpoints.
    pub(crate) fn cached(&self) -> Vec<announce::CachedModel> {
        let memory = self.memory_cache.list(announce::CacheTier::Memory);
        let disk = self.disk_cache.list(announce::CacheTier::Disk);
        memory.into_iter().chain(disk).collect()
    }

    /// Returns the bytes in use.
    pub(crate) fn bytes(&self) -> u64 {
        self.held.iter().map(|held| held.loaded.bytes).sum()
    }

    /// Returns the bytes of the entries under a name.
    pub(crate) fn bytes_of(&self, name: &str) -> u64 {
        let held = self.held.iter().filter(|held| held.name() == name);
        held.map(|held| held.loaded.bytes).sum()
    }

    /// Counts the copies held under a name.
    pub(crate) fn copies(&self, name: &str) -> u64 {
        self.held.iter().filter(|held| held.name() == name).count() as u64
    }

    /// Finds an entry by name and, if not empty, version.
    pub(crate) fn find(&mut self, name: &str, version: &str) -> Option<&mut HeldModel> {
        self.held.iter_mut().find(|held| {
            held.name() == name && (version.is_empty() || held.loaded.version == version)
        })
    }

    /// Adds an entry.
    pub(crate) fn insert(&mut self, loaded: announce::LoadedModel) {
        self.held.push(HeldModel {
            loaded,
            requests: 0,
        });
    }

    /// Removes entries by name and, if not empty, version.
    pub(crate) fn remove(&mut self, name: &str, version: &str) {
        self.held.retain(|held| {
            held.name() != name || !(version.is_empty() || held.loaded.version == version)
        });
    }

    /// Lists the adapters on a base model.
    pub(crate) fn adapters_on(&self, model: &str) -> Vec<String> {
        self.held
            .iter()
            .filter(|held| held.loaded.model == model)
            .filter_map(|held| held.loaded.adapter.clone())
            .collect()
    }

    /// Takes a ready model or adapter into use by one more request and returns the base model.
    pub(crate) fn begin_request(&mut self, name: &str) -> Option<String> {
        let held = self
            .held
            .iter_mut()
            .rfind(|held| held.name() == name && held.is_ready())?;
        held.requests += 1;
        Some(held.loaded.model.clone())
    }

    /// Ends the use by one request.
    pub(crate) fn end_request(&mut self, name: &str) {
        let found = self
            .held
            .iter_mut()
            .find(|held| held.name() == name && held.requests > 0);
        if let Some(held) = found {
            held.requests -= 1;
        }
    }

    /// Counts the requests on a name.
    pub(crate) fn requests_on(&self, name: &str) -> usize {
        let held = self.held.iter().filter(|held| held.name() == name);
        held.map(|held| held.requests).sum()
    }

    /// Returns the nearest tier that has a checkpoint.
    pub(crate) fn nearest_tier(&self, model: &str, version: &str) -> Option<announce::CacheTier> {
        if self.memory_cache.holds(model, version) {
            return Some(announce::CacheTier::Memory);
        }
        self.disk_cache
            .holds(model, version)
            .then_some(announce::CacheTier::Disk)
    }

    /// Caches a checkpoint on disk.
    pub(crate) fn cache_on_disk(&mut self, model: &str, version: &str) {
        self.disk_cache.insert(model, version);
    }

    /// Caches a checkpoint in memory.
    pub(crate) fn cache_in_memory(&mut self, model: &str, version: &str) {
        self.memory_cache.insert(model, version);
    }
}
