//! What a leader keeps for its time of leadership.

use std::time;

use galenahold_domain::fleet;
use galenahold_placement::fleet as placement;

/// What a leader keeps for its time of leadership; the next one hears it all anew.
#[derive(Debug)]
pub(crate) struct FleetLeadership {
    /// The term.
    pub(crate) term: u64,
    /// The backend servers.
    pub(crate) roster: fleet::ServerRoster,
    /// What engines load.
    pub(crate) planner: placement::FleetPlanner,
    /// When orders may be given: an earlier leader's may arrive until then.
    pub(crate) orders_start_at: time::Instant,
}
