//! The node under reordered, lost and doubled messages, restarts, partitions and changes of members.

mod member_state;
mod model_group;
mod model_step;
mod properties;
mod safety_checker;
mod scenarios;
