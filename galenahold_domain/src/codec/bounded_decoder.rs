//! Decodes `MessagePack` with a bound on its nesting.

use rmp_serde::decode;
use serde::de::DeserializeOwned;

/// The deepest nesting that is followed. Commands and snapshots need about a dozen levels; the
/// decoder's own bound lets a hostile message use up the stack of a thread.
const MAX_DEPTH: usize = 64;

/// Decodes a value from `MessagePack`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut decoder)
}
