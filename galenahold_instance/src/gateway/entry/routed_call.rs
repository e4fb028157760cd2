//! A caller's request after routing.

use std::sync;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;
use galenahold_routing::crash;
use galenahold_routing::fleet;
use galenahold_routing::load;
use http::request;
use log::info;

use crate::gateway;

/// Number of route ranks within one team rank.
const ROUTE_RANKS: u32 = 16;

/// Minimum time that callers of streams wait for the first event.
const MIN_FIRST_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How many latency objectives callers of streams wait for the first event.
const FIRST_EVENT_OBJECTIVES: u32 = 4;

/// How many event gaps callers of streams wait for the first event.
const FIRST_EVENT_GAPS: u32 = 8;

/// Subtracted from the caller's wait, for the way to the caller and the start of an answer.
const FIRST_EVENT_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Divisor of the time of a non-streaming call that gives its maximum wait for a place.
const WAIT_DIVISOR: u32 = 2;

/// A caller's request with its route and team.
#[derive(Debug)]
pub(super) struct RoutedCall {
    /// The head of the request.
    pub(super) head: request::Parts,
    /// The body of the request.
    pub(super) body: bytes::Bytes,
    /// The metadata parsed from the head.
    pub(super) metadata: gateway::CallMetadata,
    /// The keys by which the call is recognized if its server crashes.
    pub(super) keys: crash::CallKeys,
    /// The declaration that applies to the request.
    pub(super) index: sync::Arc<declaration::DeclarationIndex>,
    /// The route that takes the request.
    pub(super) route: declaration::DeclaredRoute,
    /// The service that takes the request.
    pub(super) service: name::ServiceName,
    /// The team whose key the caller sent.
    pub(super) team: Option<declaration::DeclaredTeam>,
    /// Whether the caller seems to retry after a rejection: it has less time left than the route's callers
    /// usually have.
    pub(super) is_returning: bool,
    /// When the request arrived.
    pub(super) arrived: time::Instant,
    /// Expected tokens of the answer.
    pub(super) expected_output: u64,
    /// When the answer has to be complete.
    pub(super) deadline: time::Instant,
}

impl RoutedCall {
    /// Returns the call's requirements on a backend server.
    pub(super) fn requirements(&self, tried: Vec<name::ServerName>) -> fleet::CallRequirements {
        fleet::CallRequirements {
            service: self.service.clone(),
            target: self.target().cloned(),
            rank: self.rank(),
            affinity: self.affinity(),
            suspect_place: None,
            work: self.work(),
            due_at: self.arrived + self.route.objective,
            deadline: self.deadline,
            wait_deadline: self.wait_deadline(),
            draw: rand::random(),
            tried,
        }
    }

    /// Returns the work that the call is expected to be.
    fn work(&self) -> load::CallWork {
        let sizes = self.metadata.sizes;
        let engine = self.index.service(&self.service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        let event_tokens = engine.map_or(1, |engine| u64::from(engine.tokens_per_event.max(1)));
        let output_tokens = self.expected_output;
        load::CallWork {
            prompt_tokens: sizes.map_or(0, |sizes| sizes.prompt.0),
            output_events: output_tokens.div_ceil(event_tokens),
            output_tokens,
            objective: self.route.objective,
            event_gap: self.route.event_gap,
        }
    }

    /// Returns the requested model, if the service has engines.
    pub(super) fn target(&self) -> Option<&fleet::ModelTarget> {
        let service = self.index.service(&self.service)?;
        service.engine.as_ref()?;
        self.metadata.target.as_ref()
    }

    /// Returns the rank among all calls of the service: the team's rank goes before the route's.
    pub(super) fn rank(&self) -> u32 {
        let team = self.team.as_ref().map_or(0, |team| team.priority);
        team.saturating_mul(ROUTE_RANKS)
            .saturating_add(self.route.priority.min(ROUTE_RANKS - 1))
    }

    /// Returns when the caller stops waiting for the start of an answer.
    pub(super) fn wait_deadline(&self) -> time::Instant {
        if !self.route.kind.is_stream() {
            let total = self.deadline.saturating_duration_since(self.arrived);
            return self.arrived + total / WAIT_DIVISOR;
        }
        let gaps = self.route.event_gap.unwrap_or_default() * FIRST_EVENT_GAPS;
        let first_event_timeout = (self.route.objective * FIRST_EVENT_OBJECTIVES)
            .max(gaps)
            .max(MIN_FIRST_EVENT_TIMEOUT);
        (self.arrived + first_event_timeout.saturating_sub(FIRST_EVENT_MARGIN)).min(self.deadline)
    }

    /// Logs that a server ended the connection before its answer to the call began.
    ///
    /// `answering` tells whether the head of the answer had arrived.
    pub(super) fn log_unbegun(&self, server: &name::ServerName, answering: bool) {
        let parts: Vec<_> = self.keys.parts().iter().map(ToString::to_string).collect();
        info!(
            request = self.metadata.id.as_deref().unwrap_or("-"),
            server:% = server,
            answering = answering,
            request_key:% = self.keys.request(),
            parts = parts.join(",").as_str();
            "backend server broke off before its answer began"
        );
    }

    /// Returns a hash of what the call shares with others: its adapter, or the last part of its
    /// prompt that is not its own.
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
