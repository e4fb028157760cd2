//! Shares the replicated state between the thread that applies commands and its readers.

use std::sync;

use galenahold_domain::control;
use tokio::sync::watch;

/// The replicated state, shared between the thread of the log, which applies commands, and readers.
#[derive(Debug, Clone)]
pub(crate) struct SharedState {
    state: sync::Arc<sync::RwLock<control::ControlState>>,
    applied: sync::Arc<watch::Sender<u64>>,
    fault: sync::Arc<sync::OnceLock<String>>,
}

impl SharedState {
    /// Creates the state as it is before the first command.
    pub(crate) fn new() -> Self {
        Self {
            state: sync::Arc::default(),
            applied: sync::Arc::new(watch::Sender::new(0)),
            fault: sync::Arc::default(),
        }
    }

    /// Reads the state. `reader` must be quick, because it blocks the log from applying commands.
    pub(crate) fn read<Output>(
        &self,
        reader: impl FnOnce(&control::ControlState) -> Output,
    ) -> Output {
        let state = self
            .state
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        reader(&state)
    }

    /// Changes the state and notifies subscribers.
    pub(super) fn write<Output>(
        &self,
        index: u64,
        writer: impl FnOnce(&mut control::ControlState) -> Output,
    ) -> Output {
        let mut state = self
            .state
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let output = writer(&mut state);
        drop(state);
        self.applied.send_replace(index);
        output
    }

    /// Returns a receiver that is notified of the index of each applied command.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Records the reason why the state can no longer follow the log.
    pub(super) fn set_fault(&self, reason: String) {
        // The first reason is kept.
        let _ = self.fault.set(reason);
    }

    /// Returns the reason why the state can no longer follow the log, if there is one.
    pub(crate) fn fault(&self) -> Option<&str> {
        self.fault.get().map(String::as_str)
    }
}
