//! Bootstrap of a consensus group: instances with empty data folders agree once on the first
//! membership.

mod bootstrap_step;
mod group_bootstrap;
mod joiner_table;

pub use bootstrap_step::BootstrapStep;
pub use group_bootstrap::GroupBootstrap;
pub use joiner_table::JoinerTable;
