//! The ledger of one stand-in.

use std::collections;

use super::{
    LedgerSnapshot, OrderCount, PlacementRecord, ReplicaEvent, RequestOutcome, RequestRecord,
    unix_micros,
};
use crate::state_lock;

/// Names a request of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestKey(usize);

/// Names a load or unload order of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlacementKey(usize);

#[derive(Debug, Default)]
struct LedgerState {
    snapshot: LedgerSnapshot,
    order_indexes: collections::HashMap<String, usize>,
}

/// Records what a stand-in received and ran.
#[derive(Debug, Default)]
pub(crate) struct ServerLedger {
    state: state_lock::StateLock<LedgerState>,
}

impl ServerLedger {
    /// Starts an empty ledger.
    pub(crate) fn new(name: &str, incarnation: u64, capacity_bytes: u64) -> Self {
        let snapshot = LedgerSnapshot {
            name: name.to_owned(),
            incarnation,
            capacity_bytes,
            ..LedgerSnapshot::default()
        };
        Self {
            state: state_lock::StateLock::new(LedgerState {
                snapshot,
                order_indexes: collections::HashMap::new(),
            }),
        }
    }

    /// Copies the ledger.
    pub(crate) fn snapshot(&self) -> LedgerSnapshot {
        self.state.lock().snapshot.clone()
    }

    /// Continues the ledger under a new incarnation, with nothing held.
    pub(crate) fn restarted(&self, incarnation: u64) {
        let mut state = self.state.lock();
        let snapshot = &mut state.snapshot;
        snapshot.incarnation = incarnation;
        snapshot.loads_in_flight = 0;
        snapshot.memory_bytes = 0;
        let held: collections::BTreeSet<_> = snapshot
            .replicas
            .iter()
            .map(|event| event.model.clone())
            .collect();
        let at_us = unix_micros();
        snapshot
            .replicas
            .extend(held.into_iter().map(|model| ReplicaEvent {
                at_us,
                model,
                held: 0,
                model_bytes: 0,
                memory_bytes: 0,
            }));
        for request in &mut snapshot.requests {
            if request.outcome == RequestOutcome::Running {
                request.outcome = RequestOutcome::Cancelled;
                request.ended_us = Some(at_us);
            }
        }
    }

    /// Records an arrived request.
    pub(crate) fn arrived(&self, record: RequestRecord) -> RequestKey {
        let mut state = self.state.lock();
        state.snapshot.requests.push(record);
        RequestKey(state.snapshot.requests.len() - 1)
    }

    /// Changes the record of a request.
    pub(crate) fn amend(&self, key: RequestKey, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.state.lock().snapshot.requests.get_mut(key.0) {
            change(record);
        }
    }

    /// Records how a request ended, unless it ended before.
    pub(crate) fn ended(&self, key: RequestKey, outcome: RequestOutcome) {
        self.amend(key, |record| {
            if record.outcome == RequestOutcome::Running {
                record.outcome = outcome;
                record.ended_us = Some(unix_micros());
            }
        });
    }

    /// Records one run of `order`.
    pub(crate) fn order_ran(&self, order: &str) {
        let mut state = self.state.lock();
        let next = state.snapshot.orders.len();
        let index = *state.order_indexes.entry(order.to_owned()).or_insert(next);
        if index == next {
            state.snapshot.orders.push(OrderCount {
                order: order.to_owned(),
                runs: 0,
            });
        }
        state.snapshot.orders[index].runs += 1;
    }

    /// Returns how often `order` ran.
    pub(crate) fn runs(&self, order: &str) -> u64 {
        let state = self.state.lock();
        let index = state.order_indexes.get(order);
        index.map_or(0, |index| state.snapshot.orders[*index].runs)
    }

    /// Records an arrived load or unload order.
    pub(crate) fn placement_arrived(&self, record: PlacementRecord) -> PlacementKey {
        let mut state = self.state.lock();
        state.snapshot.placements.push(record);
        PlacementKey(state.snapshot.placements.len() - 1)
    }

    /// Records the answer to a load or unload order.
    pub(crate) fn placement_ended(&self, key: PlacementKey, status: u16) {
        if let Some(record) = self.state.lock().snapshot.placements.get_mut(key.0) {
            record.status = Some(status);
            record.ended_us = Some(unix_micros());
        }
    }

    /// Records the start of a load.
    pub(crate) fn load_started(&self) {
        let mut state = self.state.lock();
        let snapshot = &mut state.snapshot;
        snapshot.loads_in_flight += 1;
        snapshot.peak_loads_in_flight = snapshot.peak_loads_in_flight.max(snapshot.loads_in_flight);
    }

    /// Records the end of a load.
    pub(crate) fn load_ended(&self) {
        let mut state = self.state.lock();
        state.snapshot.loads_in_flight = state.snapshot.loads_in_flight.saturating_sub(1);
    }

    /// Records a change of what is held.
    pub(crate) fn held(&self, event: ReplicaEvent) {
        let mut state = self.state.lock();
        let snapshot = &mut state.snapshot;
        snapshot.memory_bytes = event.memory_bytes;
        snapshot.peak_memory_bytes = snapshot.peak_memory_bytes.max(event.memory_bytes);
        snapshot.replicas.push(event);
    }
}
