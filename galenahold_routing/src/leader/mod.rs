//! How an instance finds the leader of the control group, and detects its own removal from it.

mod leader_hint;
mod leader_search;
mod leader_view;
mod list_absence;
mod search_target;

pub use leader_hint::LeaderHint;
pub use leader_search::LeaderSearch;
pub use leader_view::{LeaderView, MIN_PROOF_TIME};
pub use list_absence::ListAbsence;
pub use search_target::SearchTarget;
