//! Input of one planning round.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

/// Input of one planning round for one service.
pub(super) struct PlanRound<'a> {
    pub(super) service: &'a name::ServiceName,
    pub(super) engine: &'a declaration::DeclaredEngine,
    pub(super) records: Vec<&'a domain::ServerRecord>,
    pub(super) now: time::Instant,
}
