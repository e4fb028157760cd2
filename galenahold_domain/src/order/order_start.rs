//! The result of asking the order ledger for an attempt.

use serde::{Deserialize, Serialize};

use crate::order;

/// The order ledger's answer to the start of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStart {
    /// The asking owner has this attempt and may send the order once.
    Begun {
        /// The number of the attempt, which grows with each attempt of the order.
        attempt: u32,
    },
    /// The order already ran with this answer.
    Answered(order::OrderAnswer),
    /// Another attempt is running, or the start is a late duplicate of one whose attempt has ended.
    Running,
    /// An earlier attempt may have run, so the order never runs again.
    Unknown,
    /// The key was already used with another request.
    DigestDiffers,
    /// The key is older than the ledger's window. Its order may have run, so it never runs again.
    Expired,
    /// The asking instance's incarnation was declared ended and may start no orders.
    OwnerEnded,
    /// The ledger, or the team's part of it, has no free record.
    Full,
}
