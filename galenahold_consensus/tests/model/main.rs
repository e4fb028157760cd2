//! Model tests of the Raft node under lost, duplicated and reordered messages, crashes, partitions
//! and membership changes.

mod member_state;
mod model_group;
mod model_step;
mod properties;
mod safety_checker;
mod scenarios;
