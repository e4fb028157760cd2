//! Stand-ins for the systems around galenahold, a fault proxy, a process harness and a load tool.
//!
//! The stand-ins speak the published protocols only and keep ledgers of what really ran. The crate is
//! never a dependency of the product, and it shares no types with it, so that a check cannot agree
//! with a mistake of the product.
//!
//! - [`engine`], [`service`] and [`store`] stand in for backend servers and their weight store, in
//!   process or as the binary `galenahold-standin`; [`ledger`] says what they ran, [`control`] makes
//!   them misbehave.
//! - [`proxy`] injects faults between any two processes that talk over TCP.
//! - [`harness`] starts instances, signals them and calls their operators' face.
//! - [`load`] plays traces and checks every answer; [`experiment`] does so against a whole
//!   [`deployment`] with faults. Both are in the binary `galenahold-load`.

pub mod announce;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod harness;
mod host;
mod http;
pub mod ledger;
pub mod load;
pub mod proxy;
pub mod service;
mod state_lock;
pub mod store;
mod testkit_error;

pub use testkit_error::TestkitError;
