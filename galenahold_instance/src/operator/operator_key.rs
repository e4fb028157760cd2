//! Derives new keys from an operator's credential and request.

use galenahold_domain::key;
use galenahold_domain::name;
use sha2::{Digest, Sha512};

use crate::operator;

/// Derives the key for an operator's request, with the record to store.
///
/// The secret is derived from the operator's credential and the request, so that a repeat after a lost
/// answer shows the same key although only the salted hash is stored.
pub(crate) fn derive_key(
    identity: &operator::OperatorIdentity,
    request: &name::RequestId,
    team: &name::TeamName,
) -> (key::CallerKey, key::KeyRecord) {
    let key = key::CallerKey::generate(&derive(b"galenahold key", identity, request, team));
    let salt = derive(b"galenahold salt", identity, request, team);
    let record = key.record(team.clone(), &salt);
    (key, record)
}

/// Derives up to 64 bytes from the credential. Each hashed part is prefixed with its length.
fn derive<const LENGTH: usize>(
    purpose: &[u8],
    identity: &operator::OperatorIdentity,
    request: &name::RequestId,
    team: &name::TeamName,
) -> [u8; LENGTH] {
    let mut hasher = Sha512::new();
    let parts = [
        purpose,
        identity.credential.as_bytes(),
        identity.operator.as_bytes(),
        request.as_bytes(),
        team.as_bytes(),
    ];
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|index| digest[index])
}
