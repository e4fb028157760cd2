//! Placement decisions of the control leader: which models and adapters are loaded, on which
//! servers, in which order and for how long.
//!
//! The crate is deterministic: the current time is an argument. It has no threads, sockets, clocks
//! or files, and commits nothing itself: it requests commits and is told their results.

pub mod budget;
pub mod demand;
pub mod engine;
pub mod fleet;
pub mod policy;
