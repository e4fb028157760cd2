//! The runtime of an instance: threads, timers, HTTP faces, calls between instances.
//!
//! Decisions are made by the pure crates; this crate carries their effects out.

mod api;
mod backend;
mod configuration;
mod control;
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
