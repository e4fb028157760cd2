//! Promises on the choice of replicas and on servers out of service.

mod circuit_breaker;
mod fleet_sample;
mod prefix_affinity;
mod replica_choice;
mod replica_table;
