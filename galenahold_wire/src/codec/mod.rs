//! Codecs for tarpc's transport: MessagePack with named fields, compressed or not.

mod compression_codec;
mod compression_switch;
mod message_compressor;
mod message_decompressor;
mod named_message_pack;

pub use compression_codec::CompressionCodec;
pub use compression_switch::CompressionSwitch;
pub use named_message_pack::NamedMessagePack;
