//! State of one leadership term.

use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use galenahold_routing::load;

/// State that a leader keeps for one term; a new leader rebuilds it from notices and demand
/// reports.
#[derive(Debug)]
pub(crate) struct FleetLeadership {
    /// The consensus term.
    pub(crate) term: u64,
    /// The known backend servers.
    pub(crate) roster: fleet::ServerRoster,
    /// What the calls of all entry instances use at servers, and the servers' speeds.
    pub(crate) loads: load::FleetLoadTable,
    /// Decides which models and adapters engines load.
    pub(crate) planner: placement::FleetPlanner,
    /// The earliest time for orders; until then, orders of an earlier leader may still arrive.
    pub(crate) orders_start_at: time::Instant,
}

impl FleetLeadership {
    /// Sums up the reported loads, at most some times a second.
    pub(crate) fn sum_up_loads(&mut self, now: time::Instant) {
        let roster = &self.roster;
        let is_present = |server: &name::ServerName| roster.get(server).is_some();
        if self.loads.sum_up(is_present, now) {
            self.share_paces();
        }
    }

    /// Passes the speeds of servers on to the planner.
    fn share_paces(&mut self) {
        for (server, started_ms, factor) in self.loads.paces() {
            self.planner.record_pace(server, started_ms, factor);
        }
    }
}
