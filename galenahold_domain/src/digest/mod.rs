//! SHA-256 digests for plans, keys and ledgers.

mod content_digest;
mod content_hasher;
mod short_hash;

pub(crate) use content_digest::ContentDigest;
pub(crate) use content_hasher::ContentHasher;
pub(crate) use short_hash::ShortHash;
