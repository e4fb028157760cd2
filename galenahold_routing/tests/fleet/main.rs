//! Tests of the scheduling of calls.

mod adapter_retries;
mod attempt_budget;
mod call_deadlines;
mod call_placement;
mod call_waiting;
mod fixture;
mod fleet_model;
mod output_estimator;
mod own_use;
mod server_choice;
mod server_pauses;
mod shared_servers;
mod startup_wait;
mod waiting_times;
