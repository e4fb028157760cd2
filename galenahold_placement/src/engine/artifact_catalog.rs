//! Catalog of the models and adapters that the engine tracks.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name, placement};

use crate::engine::artifact_entry::ArtifactEntry;
use crate::engine::artifact_key::ArtifactKey;

/// Models and adapters of the intent, and others that are loaded, reserved or requested.
#[derive(Debug, Default)]
pub(super) struct ArtifactCatalog {
    entries: slotmap::SlotMap<ArtifactKey, ArtifactEntry>,
    by_artifact: collections::BTreeMap<placement::ReplicaArtifact, ArtifactKey>,
}

impl ArtifactCatalog {
    /// Applies an intent; returns the artifacts that may need a load or an unload.
    pub(super) fn set_intent(
        &mut self,
        intent: &intent::FleetIntent,
        now: time::Instant,
    ) -> Vec<ArtifactKey> {
        for entry in self.entries.values_mut() {
            entry.in_intent = false;
            entry.min_replicas = 0;
        }
        for model in &intent.models {
            self.set_model(model, now);
        }
        self.remove_unused();
        self.entries.keys().collect()
    }

    pub(super) fn get(&self, key: ArtifactKey) -> Option<&ArtifactEntry> {
        self.entries.get(key)
    }

    pub(super) fn get_mut(&mut self, key: ArtifactKey) -> Option<&mut ArtifactEntry> {
        self.entries.get_mut(key)
    }

    pub(super) fn key(&self, artifact: &placement::ReplicaArtifact) -> Option<ArtifactKey> {
        self.by_artifact.get(artifact).copied()
    }

    /// Lists all versions of an artifact's model or adapter.
    pub(super) fn versions_of(
        &self,
        artifact: &placement::ReplicaArtifact,
    ) -> impl Iterator<Item = ArtifactKey> {
        let first = placement::ReplicaArtifact {
            model: artifact.model.clone(),
            version: name::VersionName::from(""),
            adapter: None,
        };
        self.by_artifact
            .range(first..)
            .take_while(|(other, _)| other.model == artifact.model)
            .filter(|(other, _)| other.adapter == artifact.adapter)
            .map(|(_, key)| *key)
    }

    /// Returns the key of an artifact and inserts the artifact if it is unknown.
    pub(super) fn key_or_insert(
        &mut self,
        artifact: &placement::ReplicaArtifact,
        bytes: amount::ByteCount,
        now: time::Instant,
    ) -> ArtifactKey {
        if let Some(key) = self.key(artifact) {
            return key;
        }
        let base = artifact.adapter.is_some().then(|| {
            let mut base = artifact.clone();
            base.adapter = None;
            self.key_or_insert(&base, amount::ByteCount::ZERO, now)
        });
        let entry = ArtifactEntry::new(artifact.clone(), base, bytes, now);
        let key = self.entries.insert(entry);
        self.by_artifact.insert(artifact.clone(), key);
        key
    }

    fn set_model(&mut self, model: &intent::ModelIntent, now: time::Instant) {
        let artifact = placement::ReplicaArtifact {
            model: model.name.clone(),
            version: model.version.clone(),
            adapter: None,
        };
        let key = self.key_or_insert(&artifact, model.bytes, now);
        let entry = &mut self.entries[key];
        entry.bytes = model.bytes;
        entry.min_replicas = model.min_replicas;
        entry.max_replicas = model.max_replicas;
        entry.in_intent = true;
        for adapter in &model.adapters {
            let mut artifact = artifact.clone();
            artifact.adapter = Some(adapter.name.clone());
            let key = self.key_or_insert(&artifact, adapter.bytes, now);
            let entry = &mut self.entries[key];
            entry.bytes = adapter.bytes;
            entry.max_replicas = model.max_replicas;
            entry.in_intent = true;
        }
    }

    /// Removes artifacts that are neither in the intent nor referenced.
    fn remove_unused(&mut self) {
        let bases: collections::BTreeSet<ArtifactKey> = self
            .entries
            .values()
            .filter_map(|entry| entry.base)
            .collect();
        self.entries.retain(|key, entry| {
            let used = !entry.replicas.is_empty() || entry.proposed > 0;
            entry.in_intent || used || bases.contains(&key)
        });
        let entries = &self.entries;
        self.by_artifact.retain(|_, key| entries.contains_key(*key));
    }
}
