//! Decoding of the stored bytes of commands and snapshots.

mod bounded_decoder;

pub(crate) use bounded_decoder::decode;
