//! What is known in one round of planning.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

/// What is known in one round of planning.
pub(super) struct PlanRound<'a> {
    pub(super) service: &'a name::ServiceName,
    pub(super) engine: &'a declaration::DeclaredEngine,
    pub(super) records: Vec<&'a domain::ServerRecord>,
    pub(super) now: time::Instant,
}
