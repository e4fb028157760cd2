//! MessagePack with named fields, as a codec of tarpc's transport.

mod named_message_pack;

pub use named_message_pack::NamedMessagePack;
