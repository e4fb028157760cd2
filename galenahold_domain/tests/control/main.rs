//! Tests of the replicated control state: commands, operators' requests, keys, snapshots and the
//! configuration at instances.

mod codec;
mod configuration;
mod fixture;
mod keys;
mod limits;
mod operators;
mod sequences;
