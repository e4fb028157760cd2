//! What the replicated state answers to a command.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::name;
use crate::order;
use crate::placement;

/// What the replicated state answers to a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlOutcome {
    /// The change is in force at this revision.
    Changed {
        /// The revision that the change made.
        revision: amount::RevisionNumber,
    },
    /// The plan's base is not the revision in force.
    Conflict(control::PlanConflict),
    /// The plan's digest is not that of its steps.
    DigestDiffers {
        /// The digest of the steps.
        expected: String,
    },
    /// The request is not valid; a reason a field.
    Invalid {
        /// The reasons.
        reasons: Vec<String>,
    },
    /// The operator's request number was used for another request.
    RequestReused,
    /// There is no such key.
    NoSuchKey {
        /// The key's public part.
        id: name::KeyId,
    },
    /// The document is in force, or one with a higher or the same number was before.
    Declared {
        /// The number of the document in force.
        in_force: u64,
        /// Whether the command changed anything.
        changed: bool,
    },
    /// The ledger's answer to the start of an order.
    Order(order::OrderStart),
    /// The outcome of an order is recorded, or was before.
    OrderRecorded,
    /// The running attempts of the instance's earlier incarnations are unknown now.
    OrdersAbandoned {
        /// How many attempts were ended.
        count: u64,
    },
    /// Memory is reserved.
    Reserved(placement::MemoryReservation),
    /// Memory is not reserved.
    NotReserved {
        /// Why.
        reason: String,
    },
    /// The reservation is in the wanted state; its fencing number goes with the order.
    Advanced(placement::MemoryReservation),
    /// The reservation was freed, or had been before.
    ReservationChanged,
    /// There is no such reservation, or it cannot go to that state.
    ReservationRefused {
        /// Why.
        reason: String,
    },
}

impl ControlOutcome {
    /// Returns the bytes of the lines that the outcome holds.
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Self::Conflict(conflict) => conflict.summary.iter().map(String::len).sum(),
            Self::Invalid { reasons } => reasons.iter().map(String::len).sum(),
            _ => 0,
        }
    }

    /// Returns that a request is not valid, for one reason.
    pub(crate) fn invalid(reason: &str) -> Self {
        Self::Invalid {
            reasons: vec![reason.to_owned()],
        }
    }
}
