//! Tests of the placement engine: no replica loads without a decision, memory is never
//! overcommitted, and every waiting artifact is loaded in the end.

mod demand_handling;
mod fleet_model;
mod order_recovery;
mod policy_rules;
mod random_faults;
