//! State of one leadership term.

use std::time;

use galenahold_domain::fleet;
use galenahold_placement::fleet as placement;

/// State that a leader keeps for one term; a new leader rebuilds it from notices and demand
/// reports.
#[derive(Debug)]
pub(crate) struct FleetLeadership {
    /// The consensus term.
    pub(crate) term: u64,
    /// The known backend servers.
    pub(crate) roster: fleet::ServerRoster,
    /// Decides which models and adapters engines load.
    pub(crate) planner: placement::FleetPlanner,
    /// The earliest time for orders; until then, orders of an earlier leader may still arrive.
    pub(crate) orders_start_at: time::Instant,
}
