//! The codec of a connection between instances.

use std::io;
use std::pin;

use serde::Serialize;
use serde::de;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

use crate::codec;
use crate::codec::message_packer::MessagePacker;
use crate::codec::message_unpacker::MessageUnpacker;

/// Begins a packed message; no message in MessagePack begins with it.
const PACKED_MARK: u8 = 0xc1;

/// The codec of a connection between instances: MessagePack with named fields, packed where the other side
/// unpacks it.
///
/// Messages of one kind share most of their bytes, names of fields above all. They are deflated as one stream
/// for each direction of a connection (as RFC 7692 does for web sockets), so that what a message shares with those
/// before it costs a few bytes. Messages that are not packed are understood at any time.
#[derive(Debug)]
pub struct PackingCodec {
    plain: codec::NamedMessagePack,
    switch: codec::PackingSwitch,
    packer: Option<MessagePacker>,
    unpacker: Option<MessageUnpacker>,
    max_bytes: usize,
}

impl PackingCodec {
    /// Creates the codec of a connection whose messages have `max_bytes` at most, also when unpacked.
    #[must_use]
    pub fn new(switch: codec::PackingSwitch, max_bytes: usize) -> Self {
        Self {
            plain: codec::NamedMessagePack,
            switch,
            packer: None,
            unpacker: None,
            max_bytes,
        }
    }
}

impl<Item: Serialize> Serializer<Item> for PackingCodec {
    type Error = io::Error;

    fn serialize(mut self: pin::Pin<&mut Self>, item: &Item) -> Result<bytes::Bytes, io::Error> {
        let plain = pin::Pin::new(&mut self.plain).serialize(item)?;
        if !self.switch.is_on() {
            return Ok(plain);
        }
        let mut packed = Vec::with_capacity(plain.len() / 2);
        packed.push(PACKED_MARK);
        let stream = self.packer.get_or_insert_default();
        stream.pack(&plain, &mut packed)?;
        Ok(bytes::Bytes::from(packed))
    }
}

impl<Item: de::DeserializeOwned> Deserializer<Item> for PackingCodec {
    type Error = io::Error;

    fn deserialize(
        mut self: pin::Pin<&mut Self>,
        source: &bytes::BytesMut,
    ) -> Result<Item, io::Error> {
        let Some((&PACKED_MARK, packed)) = source.split_first() else {
            return pin::Pin::new(&mut self.plain).deserialize(source);
        };
        let max_bytes = self.max_bytes;
        let stream = self.unpacker.get_or_insert_default();
        let plain = stream.unpack(packed, max_bytes)?;
        pin::Pin::new(&mut self.plain).deserialize(&bytes::BytesMut::from(&plain[..]))
    }
}
