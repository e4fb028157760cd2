//! The identifier of a request that is charged.

use serde::{Deserialize, Serialize};

/// Identifies a request at its instance, from its first charge until it is charged or gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChargeTicket(pub u64);
