//! Identifies an order.

use serde::{Deserialize, Serialize};

use crate::name;

/// Identifies an order: the team and its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey {
    /// The team; the empty name on an open route.
    pub team: name::TeamName,
    /// The service that the order goes to.
    pub service: name::ServiceName,
    /// The caller's idempotency key.
    pub key: String,
}
