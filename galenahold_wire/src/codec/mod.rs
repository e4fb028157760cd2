//! Codecs for tarpc's transport: MessagePack with named fields, compressed or not.

mod compression_codec;
mod message_compressor;
mod message_decompressor;
mod named_message_pack;
mod packing_switch;

pub use compression_codec::CompressionCodec;
pub use named_message_pack::NamedMessagePack;
pub use packing_switch::PackingSwitch;
