//! Decision logic of the request path: token rates, fair queues, replica selection, scheduling, retries and admission.
//!
//! The crate is deterministic: callers pass in time and randomness. It uses no threads, sockets, clocks
//! or files.

pub mod admission;
pub mod breaker;
pub mod crash;
pub mod fleet;
pub mod leader;
pub mod load;
pub mod queue;
pub mod rate;
pub mod relay;
pub mod replica;
pub mod retry;
