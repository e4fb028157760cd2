//! Decisions on the request path: rates, fair queues, choice of replicas, retries and admission.
//!
//! Everything here is deterministic: time and randomness come in as arguments. It holds no threads,
//! sockets, clocks or files.

pub mod admission;
pub mod breaker;
pub mod fleet;
pub mod queue;
pub mod rate;
pub mod replica;
pub mod retry;
