//! Prevents a resent request from restoring a withdrawn key.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::digest;
use crate::name;

const MAX_KEYS: usize = 65_536;

/// The keys that were withdrawn, so that an old resend never restores one.
///
/// The latest 65,536 are kept as hashes of their public part. Of the keys that were dropped, only
/// the latest revision that withdrew one is kept, as the floor. A request to give a key whose base
/// is below the floor might be such a resend and is refused.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "KeysDocument")]
pub(crate) struct WithdrawnKeys {
    order: collections::VecDeque<WithdrawnKey>,
    floor: amount::RevisionNumber,
    #[serde(skip)]
    hashes: collections::BTreeSet<digest::ShortHash>,
}

/// The stored fields of the table, from which its index is rebuilt.
#[derive(Deserialize)]
struct KeysDocument {
    order: collections::VecDeque<WithdrawnKey>,
    floor: amount::RevisionNumber,
}

/// A withdrawn key: the hash of its public part, and the revision that withdrew it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct WithdrawnKey(digest::ShortHash, amount::RevisionNumber);

impl From<KeysDocument> for WithdrawnKeys {
    fn from(document: KeysDocument) -> Self {
        let hashes = document.order.iter().map(|key| key.0).collect();
        Self {
            order: document.order,
            floor: document.floor,
            hashes,
        }
    }
}

impl WithdrawnKeys {
    /// Returns whether the key is among the withdrawn keys that are kept.
    pub(crate) fn contains(&self, id: &name::KeyId) -> bool {
        self.hashes.contains(&hash_of(id))
    }

    /// Returns the lowest base that a request to give a key may have.
    pub(crate) fn floor(&self) -> amount::RevisionNumber {
        self.floor
    }

    /// Adds a key and the revision that withdrew it, and drops the oldest key beyond the limit.
    pub(crate) fn push(&mut self, id: &name::KeyId, revision: amount::RevisionNumber) {
        let hash = hash_of(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(WithdrawnKey(hash, revision));
        if self.order.len() > MAX_KEYS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.hashes.remove(&oldest.0);
            self.floor = self.floor.max(oldest.1);
        }
    }
}

fn hash_of(id: &name::KeyId) -> digest::ShortHash {
    digest::ContentDigest::of_parts(&[id.as_bytes()]).short_hash()
}
