//! How an instance finds the leader of the control group: what it is told, and whom it asks.

mod leader_hint;
mod leader_search;
mod leader_view;
mod search_target;

pub use leader_hint::LeaderHint;
pub use leader_search::LeaderSearch;
pub use leader_view::{LeaderView, MIN_PROOF_TIME};
pub use search_target::SearchTarget;
