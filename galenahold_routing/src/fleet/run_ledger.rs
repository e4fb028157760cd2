//! The calls of this instance that are in flight at backend servers.

use std::time;

use galenahold_domain::name;

use crate::fleet;

/// The calls in flight, with what each uses at its server.
///
/// A call is given back exactly once: the removal of its entry returns all that it still uses.
#[derive(Debug, Default)]
pub(super) struct RunLedger {
    runs: slotmap::SlotMap<fleet::RunKey, PlacedRun>,
}

/// A call in flight.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    /// The server that the call was placed at.
    pub(super) server: name::ServerName,
    /// The start of that server.
    pub(super) started_ms: u64,
    /// The service.
    pub(super) service: name::ServiceName,
    /// The model; absent for a service without engines.
    pub(super) model: Option<name::ModelName>,
    /// What the call uses at the server now.
    pub(super) uses: fleet::CallUse,
    /// Prompt tokens that the server was expected to read before the call's first event.
    pub(super) tokens_ahead: u32,
    /// Whether the server had a free slot when the call was placed.
    pub(super) found_slot: bool,
    /// When the call was placed.
    pub(super) placed_at: time::Instant,
    /// Whether the answer has begun.
    pub(super) has_begun: bool,
}

impl RunLedger {
    pub(super) fn insert(&mut self, run: PlacedRun) -> fleet::RunKey {
        self.runs.insert(run)
    }

    /// Marks the prompt of a call as read; returns the call and its prompt tokens, or `None` if the call
    /// has ended or its answer had begun before.
    pub(super) fn begin_answer(&mut self, key: fleet::RunKey) -> Option<(&PlacedRun, u32)> {
        let run = self.runs.get_mut(key).filter(|run| !run.has_begun)?;
        run.has_begun = true;
        let read_tokens = std::mem::take(&mut run.uses.unread_tokens);
        Some((run, read_tokens))
    }

    pub(super) fn get(&self, key: fleet::RunKey) -> Option<&PlacedRun> {
        self.runs.get(key)
    }

    pub(super) fn remove(&mut self, key: fleet::RunKey) -> Option<PlacedRun> {
        self.runs.remove(key)
    }

    /// Sums up what the calls at one start of a server use.
    pub(super) fn total(&self, server: &name::ServerName, started_ms: u64) -> fleet::CallUse {
        let mut total = fleet::CallUse::default();
        for run in self.runs.values() {
            if run.started_ms == started_ms && run.server == *server {
                total.add(run.uses);
            }
        }
        total
    }
}
