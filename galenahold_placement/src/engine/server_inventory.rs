//! Inventory of the backend servers.

use std::collections;
use std::ops;
use std::time;

use galenahold_domain::{amount, name, placement, server};

use crate::engine::server_entry::ServerEntry;
use crate::engine::server_key::ServerKey;

/// Backend servers, indexed by free memory, cached checkpoint and time of the latest announcement.
#[derive(Debug, Default)]
pub(super) struct ServerInventory {
    entries: slotmap::SlotMap<ServerKey, ServerEntry>,
    by_name: collections::BTreeMap<name::ServerName, ServerKey>,
    by_free: collections::BTreeSet<FreeServer>,
    indexed_free: slotmap::SecondaryMap<ServerKey, amount::ByteCount>,
    by_checkpoint: collections::BTreeMap<CheckpointName, collections::BTreeSet<ServerKey>>,
    by_seen_at: collections::BTreeSet<SeenServer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SeenServer {
    at: time::Instant,
    server: ServerKey,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeServer {
    free: amount::ByteCount,
    server: ServerKey,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CheckpointName {
    model: name::ModelName,
    version: name::VersionName,
}

impl ServerInventory {
    pub(super) fn get(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.entries.get(key)
    }

    pub(super) fn key(&self, name: &name::ServerName) -> Option<ServerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the key of a server and inserts the server if it is unknown.
    pub(super) fn key_or_insert(
        &mut self,
        name: &name::ServerName,
        incarnation: amount::IncarnationNumber,
    ) -> ServerKey {
        if let Some(key) = self.key(name) {
            return key;
        }
        let entry = ServerEntry::new(name.clone(), incarnation);
        let key = self.entries.insert(entry);
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Changes a server and updates the index by free memory.
    pub(super) fn update<T>(
        &mut self,
        key: ServerKey,
        update: impl FnOnce(&mut ServerEntry) -> T,
    ) -> Option<T> {
        let entry = self.entries.get_mut(key)?;
        let updated = update(entry);
        let free = entry.free();
        if let Some(before) = self.indexed_free.insert(key, free) {
            self.by_free.remove(&FreeServer {
                free: before,
                server: key,
            });
        }
        self.by_free.insert(FreeServer { free, server: key });
        Some(updated)
    }

    /// Tracks the time of a server's latest announcement; returns whether the server was tracked
    /// before.
    pub(super) fn watch(
        &mut self,
        key: ServerKey,
        before: Option<time::Instant>,
        at: time::Instant,
    ) -> bool {
        let watched = before.is_some_and(|before| {
            self.by_seen_at.remove(&SeenServer {
                at: before,
                server: key,
            })
        });
        self.by_seen_at.insert(SeenServer { at, server: key });
        watched
    }

    /// Stops tracking a server whose latest announcement is older than `limit`, and returns it.
    pub(super) fn pop_silent(&mut self, limit: time::Instant) -> Option<ServerKey> {
        let first = *self.by_seen_at.first()?;
        if first.at >= limit {
            return None;
        }
        self.by_seen_at.remove(&first);
        Some(first.server)
    }

    /// Replaces a server's cached checkpoints.
    pub(super) fn set_cached(&mut self, key: ServerKey, cached: &[server::CachedCheckpoint]) {
        let Some(announced) = self
            .entries
            .get_mut(key)
            .and_then(|entry| entry.announced.as_mut())
        else {
            return;
        };
        if announced.cached == cached {
            return;
        }
        let before = std::mem::replace(&mut announced.cached, cached.to_vec());
        for checkpoint in &before {
            if let Some(servers) = self.by_checkpoint.get_mut(&name_of(checkpoint)) {
                servers.remove(&key);
            }
        }
        for checkpoint in cached {
            let servers = self.by_checkpoint.entry(name_of(checkpoint));
            servers.or_default().insert(key);
        }
    }

    /// Lists the servers that have a model's checkpoint cached.
    pub(super) fn with_checkpoint(
        &self,
        artifact: &placement::ReplicaArtifact,
    ) -> impl Iterator<Item = ServerKey> {
        let name = CheckpointName {
            model: artifact.model.clone(),
            version: artifact.version.clone(),
        };
        self.by_checkpoint.get(&name).into_iter().flatten().copied()
    }

    /// Lists the servers with at least this much free memory, the tightest fit first.
    pub(super) fn with_free(
        &self,
        bytes: amount::ByteCount,
    ) -> impl DoubleEndedIterator<Item = ServerKey> {
        // The null key sorts after all other keys.
        let below = bytes.0.checked_sub(1).map(|free| FreeServer {
            free: amount::ByteCount(free),
            server: ServerKey::default(),
        });
        let from = below.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        self.by_free
            .range((from, ops::Bound::Unbounded))
            .map(|free| free.server)
    }
}

fn name_of(checkpoint: &server::CachedCheckpoint) -> CheckpointName {
    CheckpointName {
        model: checkpoint.model.clone(),
        version: checkpoint.version.clone(),
    }
}
