//! The node under reordered, lost and doubled messages, restarts, partitions and changes of members.

mod checks;
mod member_state;
mod model_group;
mod model_step;
mod promises;
mod scenarios;
