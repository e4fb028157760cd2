//! The departures of backend servers in the replicated state.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// The departures that the control group has committed, each for a limited time.
///
/// A departure is acknowledged to its server only once it is committed, so that no later leader
/// uses the server again.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DepartureLedger {
    /// The latest time of any command, which never goes back.
    time_ms: u64,
    table: fleet::DepartureTable,
    recorded_ms: collections::BTreeMap<name::ServerName, u64>,
}

impl DepartureLedger {
    /// How long a departure is remembered: longer than a notice may be delayed on its way.
    const RETENTION_MS: u64 = 600_000;

    /// Records a departure at the proposer's time `now_ms`, and forgets those that are too old.
    pub fn record(&mut self, departure: fleet::ServerDeparture, now_ms: u64) {
        self.time_ms = self.time_ms.max(now_ms);
        let oldest_ms = self.time_ms.saturating_sub(Self::RETENTION_MS);
        let table = &mut self.table;
        self.recorded_ms.retain(|name, recorded_ms| {
            let kept = *recorded_ms >= oldest_ms && table.get(name).is_some();
            if !kept {
                table.forget(name);
            }
            kept
        });
        let name = departure.name.clone();
        if self.table.record(departure) {
            self.recorded_ms.insert(name, self.time_ms);
        }
    }

    /// Returns whether the departure is committed.
    #[must_use]
    pub fn holds(&self, departure: &fleet::ServerDeparture) -> bool {
        self.table.holds(departure)
    }

    /// Returns the departure of a server.
    #[must_use]
    pub fn get(&self, server: &name::ServerName) -> Option<&fleet::ServerDeparture> {
        self.table.get(server)
    }

    /// Returns a version that grows with each new departure; zero before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Returns all committed departures that are remembered.
    pub fn departures(&self) -> impl Iterator<Item = &fleet::ServerDeparture> {
        self.table.iter()
    }
}
