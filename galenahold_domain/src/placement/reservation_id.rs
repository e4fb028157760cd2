//! The number by which a reservation and its load order are matched.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a reservation: the log index of its commit, sent as the `order` of the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationId(pub u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
