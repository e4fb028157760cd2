//! The control group under failures, with real processes behind fault links.

mod acknowledged_changes;
mod damaged_folders;
mod fleet_setup;
mod foreign_cluster;
mod frozen_leader;
mod full_restart;
mod member_replacement;
mod new_keys;
mod silent_cuts;
