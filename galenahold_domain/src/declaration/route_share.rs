//! A service's share of a route.

use crate::name;

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// The service.
    pub service: name::ServiceName,
    /// Its weight against the other shares of the route.
    pub weight: u64,
}
