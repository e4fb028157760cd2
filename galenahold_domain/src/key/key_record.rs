//! The stored form of a caller's key and its verification.

use std::hint;

use serde::{Deserialize, Serialize};

use crate::key;
use crate::name;

const MAX_ID_BYTES: usize = 64;
const SALT_DIGITS: usize = 32;
const HASH_DIGITS: usize = 64;

/// The stored form of a caller's key `gh_ID_SECRET`, with a hash in place of the secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The public part of the key.
    pub id: name::KeyId,
    /// The team that a caller with this key belongs to.
    pub team: name::TeamName,
    /// The random salt that is hashed before the secret, in hexadecimal.
    pub salt: String,
    /// The SHA-256 digest of the salt followed by the secret, in hexadecimal.
    pub hash: String,
}

impl KeyRecord {
    /// Returns the first fault in the record's form, or `None` if it is well-formed.
    ///
    /// The replicated state stores these texts, so they must not differ between voters.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        if !is_alphanumeric(&self.id) {
            return Some("its public part must be letters and digits");
        }
        if self.salt.len() != SALT_DIGITS || !is_hexadecimal(&self.salt) {
            return Some("its salt must be 32 hexadecimal digits");
        }
        if self.hash.len() != HASH_DIGITS || !is_hexadecimal(&self.hash) {
            return Some("its hash must be 64 hexadecimal digits");
        }
        None
    }

    /// Returns whether this is the key that the record was created from.
    ///
    /// The hashes are compared in constant time: the duration does not depend on how much of the
    /// stored hash matches.
    #[must_use]
    pub fn admits(&self, key: &key::CallerKey) -> bool {
        let computed_hash = key.salted_hash(&self.salt).to_string();
        let same_id = self.id == *key.id();
        equal_in_constant_time(computed_hash.as_bytes(), self.hash.as_bytes()) && same_id
    }
}

fn is_alphanumeric(text: &str) -> bool {
    let has_valid_length = (1..=MAX_ID_BYTES).contains(&text.len());
    has_valid_length && text.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

fn is_hexadecimal(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

/// Compares two byte strings in a time that depends only on their lengths.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    hint::black_box(difference) == 0
}
