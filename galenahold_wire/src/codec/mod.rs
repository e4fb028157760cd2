//! MessagePack with named fields, packed or not, as a codec of tarpc's transport.

mod message_packer;
mod message_unpacker;
mod named_message_pack;
mod packing_codec;
mod packing_switch;

pub use named_message_pack::NamedMessagePack;
pub use packing_codec::PackingCodec;
pub use packing_switch::PackingSwitch;
