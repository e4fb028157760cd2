//! A replicated log of the Raft family for the control group.
//!
//! The crate holds the algorithm as a pure step function ([`core`]), the write-ahead log and the
//! snapshots of a data folder ([`storage`]), the founding of a group ([`bootstrap`]) and the thread
//! that drives them ([`driver`]). It never knows what a command means.

pub mod bootstrap;
pub mod core;
pub mod driver;
pub mod log;
pub mod member;
pub mod message;
pub mod storage;
