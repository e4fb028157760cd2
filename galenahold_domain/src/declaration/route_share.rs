//! The weight with which a route sends calls to a service.

use crate::name;

/// A service's share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: name::ServiceName,
    /// The weight relative to the other shares of the route.
    pub weight: u64,
}
