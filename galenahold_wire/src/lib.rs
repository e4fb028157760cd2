//! Typed messages between instances, their tarpc service and their codec.
//!
//! Messages are encoded as MessagePack with named fields: an instance of another version ignores fields that it
//! does not know and uses defaults for missing ones. Messages are compressed if both instances support it.

pub mod codec;
pub mod message;
pub mod rpc;
