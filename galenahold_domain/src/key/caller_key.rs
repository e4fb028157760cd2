//! Generation and parsing of callers' keys.

use std::fmt;

use sha2::{Digest, Sha256};

use crate::digest;
use crate::error;
use crate::key;
use crate::name;

const KEY_PREFIX: &str = "gh_";
const HEXADECIMAL_DIGITS: &[u8; 16] = b"0123456789abcdef";
const ID_BYTES: usize = 10;
const SECRET_BYTES: usize = 32;
const SALT_BYTES: usize = 16;

/// The maximum length of a text that is parsed as a key.
const MAX_KEY_BYTES: usize = 256;

/// A caller's key in the form `gh_ID_SECRET`. Its `Debug` form omits the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    id: name::KeyId,
    secret: String,
}

impl CallerKey {
    /// The prefix of the text of each key.
    pub const PREFIX: &'static str = KEY_PREFIX;

    /// The number of random bytes that [`CallerKey::generate`] takes.
    pub const RANDOM_BYTES: usize = ID_BYTES + SECRET_BYTES;

    /// The number of random bytes that [`CallerKey::record`] takes.
    pub const SALT_BYTES: usize = SALT_BYTES;

    /// Generates a key from random bytes, which must come from a cryptographically secure source.
    #[must_use]
    pub fn generate(random: &[u8; Self::RANDOM_BYTES]) -> Self {
        let (id, secret) = random.split_at(ID_BYTES);
        Self {
            id: name::KeyId::from(hexadecimal(id)),
            secret: hexadecimal(secret),
        }
    }

    /// Parses the text of a key.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have the form `gh_ID_SECRET` with letters and digits in both
    /// parts. The error does not contain the text, which may hold a secret.
    pub fn parse(text: &str) -> Result<Self, error::DomainError> {
        Self::parse_parts(text).ok_or_else(|| error::KeyMalformedSnafu.build())
    }

    /// Returns the public part of the key.
    #[must_use]
    pub fn id(&self) -> &name::KeyId {
        &self.id
    }

    /// Returns the text of the key with its secret, to be shown once to the operator who asked for
    /// it.
    #[must_use]
    pub fn reveal(&self) -> String {
        format!("{KEY_PREFIX}{}_{}", self.id, self.secret)
    }

    /// Returns the record to store, which contains the secret only as a hash with a random salt.
    #[must_use]
    pub fn record(&self, team: name::TeamName, salt: &[u8; Self::SALT_BYTES]) -> key::KeyRecord {
        let salt = hexadecimal(salt);
        let hash = self.salted_hash(&salt);
        key::KeyRecord {
            id: self.id.clone(),
            team,
            salt,
            hash: hash.to_string(),
        }
    }

    /// Returns the SHA-256 digest of the salt followed by the secret.
    pub(crate) fn salted_hash(&self, salt: &str) -> digest::ContentDigest {
        let mut hasher = Sha256::new();
        hasher.update(salt.as_bytes());
        hasher.update(self.secret.as_bytes());
        digest::ContentDigest::new(hasher.finalize().into())
    }

    fn parse_parts(text: &str) -> Option<Self> {
        if text.len() > MAX_KEY_BYTES {
            return None;
        }
        let (id, secret) = text.strip_prefix(KEY_PREFIX)?.split_once('_')?;
        let is_valid = is_alphanumeric(id) && is_alphanumeric(secret);
        is_valid.then(|| Self {
            id: name::KeyId::from(id),
            secret: secret.to_owned(),
        })
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

fn is_alphanumeric(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 0x0f])
        .map(|digit| char::from(HEXADECIMAL_DIGITS[usize::from(digit)]))
        .collect()
}
