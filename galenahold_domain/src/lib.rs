//! Aggregates, value types and decisions of galenahold that need no threads, sockets, clocks or files.
//!
//! Time and randomness come in as arguments. Everything here is deterministic, so the replicated
//! control state can be rebuilt from its log on each voter.

pub mod amount;
mod codec;
pub mod control;
pub mod declaration;
mod digest;
pub mod error;
pub mod fleet;
pub mod intent;
pub mod key;
pub mod name;
pub mod order;
pub mod placement;
pub mod server;
pub mod verdict;
