//! Model tests of the Raft node under lost, duplicated and reordered messages, crashes, partitions
//! and membership changes, and of the replacement of machines.

mod core_event;
mod core_group;
mod core_machine;
mod core_run;
mod core_timings;
mod member_state;
mod model_group;
mod model_step;
mod properties;
mod replacements;
mod returns;
mod safety_checker;
mod scenarios;
