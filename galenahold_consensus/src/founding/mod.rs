//! Founding: how instances with empty data folders agree on one group, once.

mod founding_step;
mod group_founding;
mod joiner_table;

pub use founding_step::FoundingStep;
pub use group_founding::GroupFounding;
pub use joiner_table::JoinerTable;
