//! The present fault and the count of one direction of a link.

use std::sync::atomic;

use tokio::sync::watch;

use super::LinkFault;

/// The fault of a direction and the count from which its limits run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ActiveFault {
    /// The fault.
    pub(crate) fault: LinkFault,
    /// Bytes that had passed when it was set.
    pub(crate) base_bytes: u64,
    /// The connections up to this number are held.
    pub(crate) held_connections: u64,
}

impl ActiveFault {
    /// Returns whether bytes of a connection may pass.
    pub(crate) fn is_open(&self, connection: u64) -> bool {
        !self.fault.cut && connection > self.held_connections
    }
}

/// The present fault and the count of one direction of a link.
#[derive(Debug)]
pub(crate) struct DirectionState {
    fault: watch::Sender<ActiveFault>,
    passed_bytes: atomic::AtomicU64,
}

impl Default for DirectionState {
    fn default() -> Self {
        Self {
            fault: watch::Sender::new(ActiveFault::default()),
            passed_bytes: atomic::AtomicU64::new(0),
        }
    }
}

impl DirectionState {
    /// Sets the fault from now on.
    pub(crate) fn set(&self, fault: LinkFault) {
        let base_bytes = self.passed_bytes();
        self.fault.send_modify(|active| {
            active.fault = fault;
            active.base_bytes = base_bytes;
        });
    }

    /// Holds the bytes of all connections up to a number, and of no others.
    pub(crate) fn hold(&self, connections: u64) {
        self.fault
            .send_modify(|active| active.held_connections = connections);
    }

    /// Follows the fault.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ActiveFault> {
        self.fault.subscribe()
    }

    /// Counts bytes that passed.
    pub(crate) fn count_passed(&self, bytes: usize) {
        self.passed_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Returns the bytes that passed so far.
    pub(crate) fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Waits until bytes of a connection may pass.
    pub(crate) async fn wait_open(&self, connection: u64) {
        let mut changes = self.fault.subscribe();
        // The sender lives as long as this state.
        let _ = changes.wait_for(|active| active.is_open(connection)).await;
    }
}
