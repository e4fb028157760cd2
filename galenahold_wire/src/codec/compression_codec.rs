//! MessagePack encoding with optional compression.

use std::io;
use std::pin;

use serde::Serialize;
use serde::de;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;

use crate::codec;
use crate::codec::message_compressor::MessageCompressor;
use crate::codec::message_decompressor::MessageDecompressor;

/// First byte of a compressed message; MessagePack never uses it, so no uncompressed message starts with it.
const COMPRESSED_MARKER: u8 = 0xc1;

/// The codec of a connection between instances: MessagePack with named fields, compressed if the peer supports
/// compression.
///
/// Messages of one kind have most of their bytes in common, field names above all. Each direction of a connection
/// is therefore one DEFLATE stream (as in RFC 7692 for WebSocket), so that content repeated from earlier messages
/// takes only a few bytes. Uncompressed messages are accepted at any time.
#[derive(Debug)]
pub struct CompressionCodec {
    plain: codec::NamedMessagePack,
    switch: codec::CompressionSwitch,
    compressor: Option<MessageCompressor>,
    decompressor: Option<MessageDecompressor>,
    max_bytes: usize,
}

impl CompressionCodec {
    /// Creates the codec of a connection; `max_bytes` limits the size of a message after decompression.
    #[must_use]
    pub fn new(switch: codec::CompressionSwitch, max_bytes: usize) -> Self {
        Self {
            plain: codec::NamedMessagePack,
            switch,
            compressor: None,
            decompressor: None,
            max_bytes,
        }
    }
}

impl<Item: Serialize> Serializer<Item> for CompressionCodec {
    type Error = io::Error;

    fn serialize(mut self: pin::Pin<&mut Self>, item: &Item) -> Result<bytes::Bytes, io::Error> {
        let plain = pin::Pin::new(&mut self.plain).serialize(item)?;
        if !self.switch.is_on() {
            return Ok(plain);
        }
        let mut compressed = Vec::with_capacity(plain.len() / 2);
        compressed.push(COMPRESSED_MARKER);
        let stream = self.compressor.get_or_insert_default();
        stream.compress(&plain, &mut compressed)?;
        Ok(bytes::Bytes::from(compressed))
    }
}

impl<Item: de::DeserializeOwned> Deserializer<Item> for CompressionCodec {
    type Error = io::Error;

    fn deserialize(
        mut self: pin::Pin<&mut Self>,
        source: &bytes::BytesMut,
    ) -> Result<Item, io::Error> {
        let Some((&COMPRESSED_MARKER, compressed)) = source.split_first() else {
            return pin::Pin::new(&mut self.plain).deserialize(source);
        };
        let max_bytes = self.max_bytes;
        let stream = self.decompressor.get_or_insert_default();
        let plain = stream.decompress(compressed, max_bytes)?;
        pin::Pin::new(&mut self.plain).deserialize(&bytes::BytesMut::from(&plain[..]))
    }
}
