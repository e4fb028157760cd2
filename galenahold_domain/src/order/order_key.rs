//! The identity by which a repeated order is recognized.

use serde::{Deserialize, Serialize};

use crate::name;

/// The identity of an order: the team, the service and the caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey {
    /// The team of the caller; empty on an open route.
    pub team: name::TeamName,
    /// The service that the order is sent to.
    pub service: name::ServiceName,
    /// The caller's idempotency key.
    pub key: String,
}
