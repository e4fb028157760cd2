//! Serializable request counts that can be merged over instances.

mod burn_entry;
mod burn_snapshot;
mod history_bucket;
mod objective_targets;
mod window_counts;

pub use burn_entry::BurnEntry;
pub use burn_snapshot::BurnSnapshot;
pub use history_bucket::HistoryBucket;
pub use objective_targets::ObjectiveTargets;
pub use window_counts::WindowCounts;
