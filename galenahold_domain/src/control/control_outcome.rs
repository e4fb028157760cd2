//! The outcomes of commands of the replicated log.

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::control;
use crate::name;
use crate::order;
use crate::placement;

/// The outcome of a command that the replicated state applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlOutcome {
    /// The change is in force at this revision.
    Changed {
        /// The revision that the change made.
        revision: amount::RevisionNumber,
    },
    /// The intent has changed since the plan's base.
    Conflict(control::PlanConflict),
    /// The plan's digest does not match the digest of its steps.
    DigestDiffers {
        /// The digest that the state computed for the steps.
        expected: String,
    },
    /// The request is not valid.
    Invalid {
        /// The reasons, one for each faulty field.
        reasons: Vec<String>,
    },
    /// The operator already used this request number for another request.
    RequestReused,
    /// There is no such key.
    NoSuchKey {
        /// The public part of the key.
        id: name::KeyId,
    },
    /// The document is in force, or one with the same or a higher number already was.
    Declared {
        /// The number of the document in force.
        in_force: u64,
        /// Whether the command changed anything.
        changed: bool,
    },
    /// The order ledger's answer to the start of an order.
    Order(order::OrderStart),
    /// The outcome of an order is recorded, or already was.
    OrderRecorded,
    /// The running attempts of the instance's earlier incarnations ended with an unknown outcome.
    OrdersAbandoned {
        /// The number of attempts that were ended.
        count: u64,
    },
    /// The departure is recorded, or already was.
    DepartureRecorded,
    /// The crash, or that parts of prompts are harmless, is recorded.
    CrashRecorded,
    /// The memory is reserved, or the replica is adopted.
    Reserved(placement::MemoryReservation),
    /// The memory is not reserved, or the replica is not adopted.
    NotReserved {
        /// The rule that the command would break.
        reason: String,
    },
    /// The reservation is in the wanted state; its fencing number is sent with the order.
    Advanced(placement::MemoryReservation),
    /// The reservations are freed, or already were.
    ReservationChanged,
    /// The reservation does not exist, or it cannot move to the wanted state.
    ReservationRefused {
        /// The rule that the command would break.
        reason: String,
    },
}

impl ControlOutcome {
    /// Returns the number of bytes in the texts of the outcome.
    pub(crate) fn text_bytes(&self) -> usize {
        match self {
            Self::Conflict(conflict) => conflict.summary.iter().map(String::len).sum(),
            Self::Invalid { reasons } => reasons.iter().map(String::len).sum(),
            _ => 0,
        }
    }

    /// Returns [`ControlOutcome::Invalid`] with a single reason.
    pub(crate) fn invalid(reason: &str) -> Self {
        Self::Invalid {
            reasons: vec![reason.to_owned()],
        }
    }
}
