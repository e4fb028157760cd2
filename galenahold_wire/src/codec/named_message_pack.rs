//! MessagePack encoding without compression.

use std::io;
use std::pin;

use serde::Serialize;
use serde::de;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

/// Maximum nesting depth of a message.
const MAX_DEPTH: usize = 64;

/// The codec for uncompressed messages between instances: MessagePack whose structures include field names.
#[derive(Debug, Clone, Copy, Default)]
pub struct NamedMessagePack;

impl<Item: Serialize> Serializer<Item> for NamedMessagePack {
    type Error = io::Error;

    fn serialize(self: pin::Pin<&mut Self>, item: &Item) -> Result<bytes::Bytes, io::Error> {
        rmp_serde::to_vec_named(item)
            .map(bytes::Bytes::from)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
    }
}

impl<Item: de::DeserializeOwned> Deserializer<Item> for NamedMessagePack {
    type Error = io::Error;

    fn deserialize(self: pin::Pin<&mut Self>, source: &bytes::BytesMut) -> Result<Item, io::Error> {
        let mut reader = rmp_serde::Deserializer::from_read_ref(source.as_ref());
        // Limits the recursion so that deeply nested input cannot exhaust the stack.
        reader.set_max_depth(MAX_DEPTH);
        Item::deserialize(&mut reader)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
