//! The announcement of a backend server that it takes no new requests.

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// A start of a backend server that announced that it takes no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// The name of the server.
    pub name: name::ServerName,
    /// The start of the server that leaves: milliseconds since the Unix epoch, or the incarnation of
    /// a server that numbers its starts. Earlier starts have ended.
    pub started_ms: u64,
    /// Whether the server still finishes requests.
    pub stage: fleet::DepartureStage,
}

impl ServerDeparture {
    /// Returns the departure of a server that is in the given stage, if it drains.
    pub(super) fn of_stage(
        name: &name::ServerName,
        started_ms: u64,
        stage: fleet::ServerStage,
    ) -> Option<Self> {
        (stage == fleet::ServerStage::Draining).then(|| Self {
            name: name.clone(),
            started_ms,
            stage: fleet::DepartureStage::Draining,
        })
    }

    /// Returns whether the given start of the server takes no new requests.
    #[must_use]
    pub fn covers(&self, started_ms: u64) -> bool {
        started_ms <= self.started_ms
    }

    /// Returns whether the given start of the server is gone.
    #[must_use]
    pub fn ends(&self, started_ms: u64) -> bool {
        self.stage == fleet::DepartureStage::Left && self.covers(started_ms)
    }

    /// Returns whether everything that `other` says of the same server follows from this departure.
    #[must_use]
    pub fn includes(&self, other: &Self) -> bool {
        (self.started_ms, self.stage) >= (other.started_ms, other.stage)
    }
}
