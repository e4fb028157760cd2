//! What is stored of a caller's key.

use serde::{Deserialize, Serialize};

use crate::name;

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
