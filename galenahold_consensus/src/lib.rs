//! Raft consensus for the control group.
//!
//! [`core`] implements the algorithm as a step function without I/O, [`storage`] the write-ahead
//! log and the snapshots of a data folder, [`bootstrap`] the creation of a group, and [`driver`]
//! the thread that runs them. Commands are opaque bytes to this crate.

pub mod bootstrap;
pub mod core;
pub mod driver;
pub mod log;
pub mod member;
pub mod message;
pub mod storage;
