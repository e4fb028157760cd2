//! Tests of the replica table, the balancing policies and the circuit breaker.

mod circuit_breaker;
mod fleet_sample;
mod prefix_affinity;
mod replica_choice;
mod replica_table;
