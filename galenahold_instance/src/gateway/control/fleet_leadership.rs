//! State of one leadership term.

use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use galenahold_routing::load;
use log::info;

/// Minimum time between two log lines about the speeds of servers.
const PACE_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A server, its start and the time for an event relative to the mean of all servers.
type Pace<'a> = (&'a name::ServerName, u64, f64);

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
    /// When the speeds of servers were last logged; the start of the term at first.
    pub(crate) paces_logged_at: time::Instant,
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
            self.log_paces(now);
        }
    }

    /// Passes the speeds of servers on to the planner.
    fn share_paces(&mut self) {
        for (server, started_ms, factor) in self.loads.paces() {
            self.planner.record_pace(server, started_ms, factor);
        }
    }

    /// Logs the range of the known speeds once in a while.
    fn log_paces(&mut self, now: time::Instant) {
        if now.saturating_duration_since(self.paces_logged_at) < PACE_LOG_INTERVAL {
            return;
        }
        let compare = |one: &Pace<'_>, other: &Pace<'_>| one.2.total_cmp(&other.2);
        let fastest = self.loads.paces().min_by(compare);
        let slowest = self.loads.paces().max_by(compare);
        let (Some(fastest), Some(slowest)) = (fastest, slowest) else {
            return;
        };
        info!(
            term = self.term,
            servers = self.loads.paces().count(),
            fastest:% = fastest.0,
            fastest_factor = fastest.2,
            slowest:% = slowest.0,
            slowest_factor = slowest.2;
            "speeds of backend servers estimated"
        );
        self.paces_logged_at = now;
    }
}
