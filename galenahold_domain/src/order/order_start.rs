//! What the ledger answers to the start of an order.

use serde::{Deserialize, Serialize};

use crate::order;

/// What the ledger answers to the start of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStart {
    /// The caller of the ledger owns this attempt and may send once.
    Begun {
        /// The attempt's number; it grows from one attempt of the order to the next.
        attempt: u32,
    },
    /// The order ran; this is its answer.
    Answered(order::OrderAnswer),
    /// Another attempt is under way.
    Running,
    /// An earlier attempt may have run; it never runs again.
    Unknown,
    /// The key was used with another request.
    DigestDiffers,
    /// The key is older than the ledger's window: its order may have run, and never runs again.
    Expired,
    /// The asking instance's incarnation was declared ended; it may start no order.
    OwnerEnded,
    /// The ledger has reached its limit of entries or bytes.
    Full,
}
