//! The runtime of an instance: threads, timers, HTTP APIs and calls between instances.
//!
//! The crates without I/O make the decisions; this crate executes their effects.

mod api;
mod backend;
mod buffer;
mod configuration;
mod control;
mod crash;
mod dispatch;
mod entry;
pub mod gateway;
mod instance;
mod operator;
mod order;
mod peer;
mod placement;
mod platform;
mod rate;
mod registry;
mod task;
mod timer;

pub use instance::{FleetInstance, InstanceError, StopReason};
