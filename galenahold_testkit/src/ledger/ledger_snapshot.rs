//! A copy of a ledger.

use serde::{Deserialize, Serialize};

use super::{OrderCount, PlacementRecord, ReplicaEvent, RequestOutcome, RequestRecord};

/// Everything a stand-in recorded up to a moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// The stand-in's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// All requests in order of arrival.
    pub requests: Vec<RequestRecord>,
    /// How often each order ran at a plain service.
    pub orders: Vec<OrderCount>,
    /// All load and unload orders in order of arrival.
    pub placements: Vec<PlacementRecord>,
    /// All changes of what is held.
    pub replicas: Vec<ReplicaEvent>,
    /// Loads in flight now.
    pub loads_in_flight: u64,
    /// The most loads in flight at once.
    pub peak_loads_in_flight: u64,
    /// Memory in use now.
    pub memory_bytes: u64,
    /// The most memory in use at once.
    pub peak_memory_bytes: u64,
    /// Memory that there is.
    pub capacity_bytes: u64,
}

impl LedgerSnapshot {
    /// Returns the bytes by which the peak passed the capacity.
    #[must_use]
    pub fn overcommitted_bytes(&self) -> u64 {
        self.peak_memory_bytes.saturating_sub(self.capacity_bytes)
    }

    /// Returns how often `order` ran.
    #[must_use]
    pub fn runs(&self, order: &str) -> u64 {
        self.orders
            .iter()
            .find(|count| count.order == order)
            .map_or(0, |count| count.runs)
    }

    /// Counts the requests that ended, or stand, with `outcome`.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        self.requests
            .iter()
            .filter(|request| request.outcome == outcome)
            .count()
    }

    /// Returns the most copies of `model` that all ledgers together held at once.
    #[must_use]
    pub fn peak_replicas(ledgers: &[Self], model: &str) -> u64 {
        let mut events: Vec<_> = ledgers
            .iter()
            .enumerate()
            .flat_map(|(server, ledger)| ledger.replicas.iter().map(move |event| (server, event)))
            .filter(|(_, event)| event.model == model)
            .collect();
        events.sort_by_key(|(_, event)| event.at_us);
        let mut held = vec![0_u64; ledgers.len()];
        let mut peak = 0;
        for (server, event) in events {
            held[server] = event.held;
            peak = peak.max(held.iter().sum());
        }
        peak
    }
}
