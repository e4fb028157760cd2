//! The replicated state, shared between the log's thread and its readers.

use std::sync;

use galenahold_domain::control;
use tokio::sync::watch;

/// The replicated state, shared between the log's thread, which applies commands, and readers.
#[derive(Debug, Clone)]
pub(crate) struct SharedState {
    state: sync::Arc<sync::RwLock<control::ControlState>>,
    applied: sync::Arc<watch::Sender<u64>>,
    fault: sync::Arc<sync::OnceLock<String>>,
}

impl SharedState {
    /// Creates the state before the first command.
    pub(crate) fn new() -> Self {
        Self {
            state: sync::Arc::default(),
            applied: sync::Arc::new(watch::Sender::new(0)),
            fault: sync::Arc::default(),
        }
    }

    /// Reads the state; the reader must be short.
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

    /// Changes the state and tells those who wait for changes.
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

    /// Returns a receiver that is told of each applied command's index.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Records that the state can no longer follow the log.
    pub(super) fn set_fault(&self, reason: String) {
        // The first reason stays.
        let _ = self.fault.set(reason);
    }

    /// Returns why the state can no longer follow the log.
    pub(crate) fn fault(&self) -> Option<&str> {
        self.fault.get().map(String::as_str)
    }
}
