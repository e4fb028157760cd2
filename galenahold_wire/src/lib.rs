//! Typed messages between instances, their tarpc service and their codec.
//!
//! Messages travel as MessagePack with named fields: an instance of another version skips fields that
//! it does not know and takes defaults for those that are missing. Instances that both can do so pack
//! them.

pub mod codec;
pub mod message;
pub mod rpc;
