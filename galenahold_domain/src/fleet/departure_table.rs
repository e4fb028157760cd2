//! The known departures of backend servers, at most one for each server.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// The latest departure of each backend server, for a bounded number of servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureTable {
    /// The number of departures recorded so far.
    recorded: u64,
    entries: collections::BTreeMap<name::ServerName, DepartureEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DepartureEntry {
    departure: fleet::ServerDeparture,
    /// The number of the departure in the order of recording.
    position: u64,
}

impl DepartureTable {
    /// The maximum number of servers whose departure is remembered.
    pub const MAX_ENTRIES: usize = 8_192;

    /// Records a departure unless a known one includes it; returns whether it is new.
    ///
    /// Beyond the maximum number of servers, the departure that was recorded first is forgotten.
    pub fn record(&mut self, departure: fleet::ServerDeparture) -> bool {
        if self.holds(&departure) {
            return false;
        }
        self.recorded += 1;
        let entry = DepartureEntry {
            position: self.recorded,
            departure,
        };
        self.entries.insert(entry.departure.name.clone(), entry);
        if self.entries.len() > Self::MAX_ENTRIES {
            let oldest = self.entries.values().min_by_key(|entry| entry.position);
            if let Some(name) = oldest.map(|entry| entry.departure.name.clone()) {
                self.entries.remove(&name);
            }
        }
        true
    }

    /// Returns the departure of a server.
    #[must_use]
    pub fn get(&self, name: &name::ServerName) -> Option<&fleet::ServerDeparture> {
        self.entries.get(name).map(|entry| &entry.departure)
    }

    /// Returns whether the table says everything that the departure says.
    #[must_use]
    pub fn holds(&self, departure: &fleet::ServerDeparture) -> bool {
        let known = self.get(&departure.name);
        known.is_some_and(|known| known.includes(departure))
    }

    /// Forgets the departure of a server.
    pub fn forget(&mut self, name: &name::ServerName) {
        self.entries.remove(name);
    }

    /// Returns the number of departures recorded so far, which grows with each new one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.recorded
    }

    /// Returns all departures, in the order of the servers' names.
    pub fn iter(&self) -> impl Iterator<Item = &fleet::ServerDeparture> {
        self.entries.values().map(|entry| &entry.departure)
    }
}
