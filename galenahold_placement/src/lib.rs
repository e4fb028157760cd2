//! Decisions of the control leader: what is loaded where, in which order, and for how long.
//!
//! Everything here is deterministic: time comes in as an argument. It holds no threads, sockets,
//! clocks or files, and commits nothing by itself: it asks for commits and follows them.

pub mod budget;
pub mod demand;
pub mod engine;
pub mod fleet;
pub mod policy;
