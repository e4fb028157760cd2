//! What is stored of a caller's key.

use std::hint;

use serde::{Deserialize, Serialize};

use crate::key;
use crate::name;

const MAX_ID_BYTES: usize = 64;
const SALT_DIGITS: usize = 32;
const HASH_DIGITS: usize = 64;

/// What is stored of a caller's key `gh_ID_SECRET`: never the secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The public part.
    pub id: name::KeyId,
    /// The team whose requests the key admits.
    pub team: name::TeamName,
    /// Random bytes that go before the secret into the hash, in hexadecimal.
    pub salt: String,
    /// SHA-256 of salt and secret, in hexadecimal.
    pub hash: String,
}

impl KeyRecord {
    /// Returns what is wrong with the record's form, if anything.
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

    /// Returns whether the key is the one that the record was made of.
    ///
    /// The time does not depend on how much of the hash agrees.
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

/// Compares byte strings in a time that depends on their lengths only.
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
