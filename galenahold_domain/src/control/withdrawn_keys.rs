//! The keys that were withdrawn.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::digest;
use crate::name;

const MAX_KEYS: usize = 65_536;

/// The keys that were withdrawn, so that an old resend never gives one again.
///
/// The latest 65,536 are known by a hash of their public part. For those before, the table knows
/// the revision that withdrew the last of them: a request to give a key that was made against an
/// earlier revision might be a resend, and is refused.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "KeysDocument")]
pub(crate) struct WithdrawnKeys {
    order: collections::VecDeque<WithdrawnKey>,
    floor: amount::RevisionNumber,
    #[serde(skip)]
    hashes: collections::BTreeSet<digest::ShortHash>,
}

/// The table without its index.
#[derive(Deserialize)]
struct KeysDocument {
    order: collections::VecDeque<WithdrawnKey>,
    floor: amount::RevisionNumber,
}

/// One withdrawn key: the hash of its public part, and the revision that withdrew it.
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
    /// Returns whether the key is known to be withdrawn.
    pub(crate) fn contains(&self, id: &name::KeyId) -> bool {
        self.hashes.contains(&hash_of(id))
    }

    /// Returns the lowest base that a request to give a key may have.
    pub(crate) fn floor(&self) -> amount::RevisionNumber {
        self.floor
    }

    /// Adds a key that the revision withdrew.
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
    digest::ContentDigest::of_parts(&[id.as_bytes()]).short()
}
