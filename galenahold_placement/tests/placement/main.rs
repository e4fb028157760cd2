//! Promises on placement: nothing loads that was not decided, memory is never overcommitted, and
//! whatever waits is loaded in the end.

mod demand_handling;
mod fleet_model;
mod order_recovery;
mod policy_rules;
mod random_faults;
