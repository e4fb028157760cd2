//! A declared route and its weighted choice of a service.

use std::sync;
use std::time;

use crate::declaration;
use crate::name;

/// A route: the requests that it matches, their limits and the services that handle them.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredRoute {
    /// The route's name.
    pub name: name::RouteName,
    /// The host that a request must name to match.
    pub host: sync::Arc<str>,
    /// The prefix of the paths that match; begins and ends with a slash.
    pub path_prefix: sync::Arc<str>,
    /// The retry semantics of the route's calls.
    pub kind: declaration::CallKind,
    /// The maximum time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// The latency objective: the time to the answer or, for a stream, to the first event.
    pub objective: time::Duration,
    /// The objective for the time between two events of a stream.
    pub event_gap: Option<time::Duration>,
    /// The priority of the route's calls; 0 is the highest.
    pub priority: u32,
    /// The services that handle the calls, with their weights.
    pub shares: Vec<declaration::RouteShare>,
    /// The maximum number of backend servers to which one call is sent.
    pub max_attempts: u32,
    /// Whether calls are accepted without a key.
    pub open: bool,
}

impl DeclaredRoute {
    /// Returns the service for a call, chosen by weight.
    ///
    /// `point` selects the service; it should be uniformly distributed over all numbers, such as a
    /// hash.
    ///
    /// # Panics
    ///
    /// Panics if the route has no shares, which [`declaration::FleetDeclaration::check`] rules out.
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
