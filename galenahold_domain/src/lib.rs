//! The domain model of galenahold: types and decisions that use no threads, sockets, clocks or files.
//!
//! Time and randomness are passed in as arguments. All code here is deterministic, so that each
//! voter rebuilds the same control state from the replicated log.

pub mod amount;
mod codec;
pub mod control;
pub mod crash;
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
