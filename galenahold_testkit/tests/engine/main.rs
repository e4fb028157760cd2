//! Promises of the engine stand-in.

mod batching;
mod caller;
mod fencing;
mod memory;
mod prefixes;
mod store_limits;
mod streams;
