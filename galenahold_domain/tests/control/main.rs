//! The replicated control state: commands, operators, keys, snapshots and what instances see.

mod codec;
mod configuration;
mod fixture;
mod keys;
mod limits;
mod operators;
mod sequences;
