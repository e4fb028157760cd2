//! A sorted, copy-on-write table of key records.

use std::fmt;
use std::sync;

use serde::de::Deserializer;
use serde::ser::Serializer;
use serde::{Deserialize, Serialize};

use crate::key;
use crate::name;

/// The maximum number of records in one chunk, and of pointers that a change copies.
const MAX_CHUNK_RECORDS: usize = 128;

type KeyChunk = sync::Arc<Vec<sync::Arc<key::KeyRecord>>>;

/// The keys of one revision of the configuration, ordered by their public part.
///
/// The records are stored in shared chunks: a clone copies one pointer per chunk, and a change of a
/// table that is shared copies one chunk. Lookups take logarithmic time.
#[derive(Clone, Default, PartialEq)]
pub struct KeyTable {
    chunks: Vec<KeyChunk>,
    length: usize,
}

impl KeyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the record of the key with this public part.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&key::KeyRecord> {
        let chunk = self.chunks.get(self.find_chunk(id)?)?;
        let record_index = chunk
            .binary_search_by(|record| record.id.as_str().cmp(id))
            .ok()?;
        chunk.get(record_index).map(AsRef::as_ref)
    }

    /// Returns the records, ordered by the public parts of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &key::KeyRecord> {
        self.chunks
            .iter()
            .flat_map(|chunk| chunk.iter().map(AsRef::as_ref))
    }

    /// Adds a record, or replaces the record with the same public part.
    pub fn insert(&mut self, record: key::KeyRecord) {
        let Some(chunk_index) = self.find_chunk(&record.id) else {
            self.chunks
                .push(sync::Arc::new(vec![sync::Arc::new(record)]));
            self.length = 1;
            return;
        };
        let chunk = sync::Arc::make_mut(&mut self.chunks[chunk_index]);
        match chunk.binary_search_by(|known| known.id.cmp(&record.id)) {
            Ok(record_index) => chunk[record_index] = sync::Arc::new(record),
            Err(record_index) => {
                chunk.insert(record_index, sync::Arc::new(record));
                self.length += 1;
            }
        }
        if chunk.len() > MAX_CHUNK_RECORDS {
            let upper = chunk.split_off(MAX_CHUNK_RECORDS / 2);
            self.chunks.insert(chunk_index + 1, sync::Arc::new(upper));
        }
    }

    /// Removes the record with this public part, and returns whether there was one.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(chunk_index) = self.find_chunk(id) else {
            return false;
        };
        let found = self.chunks[chunk_index].binary_search_by(|record| record.id.as_str().cmp(id));
        let Ok(record_index) = found else {
            return false;
        };
        let chunk = sync::Arc::make_mut(&mut self.chunks[chunk_index]);
        chunk.remove(record_index);
        if chunk.is_empty() {
            self.chunks.remove(chunk_index);
        }
        self.length -= 1;
        true
    }

    /// Removes the records of all keys of these teams.
    pub fn remove_teams(&mut self, teams: &[name::TeamName]) {
        if teams.is_empty() {
            return;
        }
        let ids: Vec<name::KeyId> = self
            .iter()
            .filter(|record| teams.contains(&record.team))
            .map(|record| record.id.clone())
            .collect();
        for id in &ids {
            self.remove(id);
        }
    }

    /// Returns the index of the chunk that contains or would contain the key, or `None` if the
    /// table is empty.
    fn find_chunk(&self, id: &str) -> Option<usize> {
        if self.chunks.is_empty() {
            return None;
        }
        let after = self
            .chunks
            .partition_point(|chunk| chunk.first().is_some_and(|first| first.id.as_str() <= id));
        Some(after.saturating_sub(1))
    }
}

impl FromIterator<key::KeyRecord> for KeyTable {
    fn from_iter<I: IntoIterator<Item = key::KeyRecord>>(records: I) -> Self {
        let mut table = Self::new();
        for record in records {
            table.insert(record);
        }
        table
    }
}

impl fmt::Debug for KeyTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}

impl Serialize for KeyTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for KeyTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let records = Vec::<key::KeyRecord>::deserialize(deserializer)?;
        Ok(records.into_iter().collect())
    }
}
