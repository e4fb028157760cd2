//! A route.

use std::sync;
use std::time;

use crate::declaration;
use crate::name;

/// A route: which requests it takes and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredRoute {
    /// Its name.
    pub name: name::RouteName,
    /// The host that callers name.
    pub host: sync::Arc<str>,
    /// The beginning of the paths that it takes; begins and ends with a slash.
    pub path_prefix: sync::Arc<str>,
    /// What may be done with a call after an unclear end.
    pub kind: declaration::CallKind,
    /// The longest time that a call may be kept waiting.
    pub timeout: time::Duration,
    /// The time to the answer, or to the first event, that callers pay for.
    pub objective: time::Duration,
    /// The longest pause between events that callers pay for.
    pub event_gap: Option<time::Duration>,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// The services that take its calls, by weight.
    pub shares: Vec<declaration::RouteShare>,
    /// Backend servers to which one call may be sent, at most.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub open: bool,
}

impl DeclaredRoute {
    /// Returns the service for a call, by a point that is spread evenly over all numbers.
    ///
    /// # Panics
    ///
    /// Never for a checked declaration, whose weights do not add up to zero.
    #[must_use]
    pub fn service_at(&self, point: u64) -> &name::ServiceName {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = point % total.max(1);
        for share in &self.shares {
            if remaining < share.weight {
                return &share.service;
            }
            remaining -= share.weight;
        }
        &self.shares[0].service
    }
}
