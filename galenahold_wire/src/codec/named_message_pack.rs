//! The codec between instances.

use std::io;
use std::pin;

use serde::Serialize;
use serde::de;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

/// The codec between instances: MessagePack whose structures carry the names of their fields.
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
        rmp_serde::from_slice(source)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}
