//! A caller's request with its route and team.

use std::sync;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;
use galenahold_routing::fleet;
use http::request;

use crate::gateway;

/// How much rarer routes are ranked within one rank of teams.
const ROUTE_RANKS: u32 = 16;

/// The longest pause that callers of streams bear in any case.
const MIN_FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Objectives that callers of streams wait for the first event.
const FIRST_EVENT_OBJECTIVES: u32 = 4;

/// Pauses between events that callers of streams wait for the first event.
const FIRST_EVENT_GAPS: u32 = 8;

/// What a caller's patience is cut by, for the way to it and the begin of an answer.
const FIRST_EVENT_MARGIN: time::Duration = time::Duration::from_millis(150);

/// The share of its time that a call to a plain service may wait for a place.
const WAIT_DIVISOR: u32 = 2;

/// A caller's request with its route and team.
#[derive(Debug)]
pub(super) struct RoutedCall {
    /// The head of the request.
    pub(super) head: request::Parts,
    /// The body.
    pub(super) body: bytes::Bytes,
    /// What the head says.
    pub(super) metadata: gateway::CallerCall,
    /// The declaration by which it is served.
    pub(super) index: sync::Arc<declaration::DeclarationIndex>,
    /// Its route.
    pub(super) route: declaration::DeclaredRoute,
    /// The service that takes it.
    pub(super) service: name::ServiceName,
    /// The team whose key the caller showed.
    pub(super) team: Option<declaration::DeclaredTeam>,
    /// When it arrived.
    pub(super) arrived: time::Instant,
    /// When its answer has to be complete.
    pub(super) deadline: time::Instant,
}

impl RoutedCall {
    /// Returns what the call needs of a backend server.
    pub(super) fn requirements(&self, tried: Vec<name::ServerName>) -> fleet::CallRequirements {
        fleet::CallRequirements {
            service: self.service.clone(),
            target: self.target().cloned(),
            rank: self.rank(),
            affinity: self.affinity(),
            patience_until: self.patience_until(),
            tried,
        }
    }

    /// Returns the model, where the service has engines.
    pub(super) fn target(&self) -> Option<&fleet::ModelTarget> {
        let service = self.index.service(&self.service)?;
        service.engine.as_ref()?;
        self.metadata.target.as_ref()
    }

    /// Returns the rank among all calls of the service: the team's goes before the route's.
    pub(super) fn rank(&self) -> u32 {
        let team = self.team.as_ref().map_or(0, |team| team.priority);
        team.saturating_mul(ROUTE_RANKS)
            .saturating_add(self.route.priority.min(ROUTE_RANKS - 1))
    }

    /// Returns when the caller stops waiting for the begin of an answer.
    pub(super) fn patience_until(&self) -> time::Instant {
        if !self.route.kind.is_stream() {
            let whole = self.deadline.saturating_duration_since(self.arrived);
            return self.arrived + whole / WAIT_DIVISOR;
        }
        let gaps = self.route.event_gap.unwrap_or_default() * FIRST_EVENT_GAPS;
        let patience = (self.route.objective * FIRST_EVENT_OBJECTIVES)
            .max(gaps)
            .max(MIN_FIRST_EVENT_TIMEOUT);
        (self.arrived + patience.saturating_sub(FIRST_EVENT_MARGIN)).min(self.deadline)
    }

    /// Names what the call shares with others: its adapter, or the last part of its prompt but its own.
    fn affinity(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        self.metadata.target.hash(&mut hasher);
        let with_adapter = self
            .metadata
            .target
            .as_ref()
            .is_some_and(|target| target.adapter.is_some());
        if !with_adapter {
            let shared = self.metadata.prompt.iter().rev().nth(1);
            shared.map(|part| part.id).hash(&mut hasher);
        }
        hasher.finish()
    }
}
