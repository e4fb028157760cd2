//! A `MessagePack` decoder with a limit on the nesting depth.

use rmp_serde::decode;
use serde::de::DeserializeOwned;

/// The maximum nesting depth. Commands and snapshots need about a dozen levels; the decoder's
/// default limit is so high that a malicious message can overflow a thread's stack.
const MAX_DEPTH: usize = 64;

/// Decodes a value from `MessagePack`; nesting deeper than the limit is an error.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut decoder)
}
