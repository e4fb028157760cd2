//! Promises on placement: nothing loads that was not decided, memory is never overcommitted, and
//! whatever waits is loaded in the end.

mod demand_promises;
mod fleet_model;
mod order_promises;
mod policy_promises;
mod random_faults;
