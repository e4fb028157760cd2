//! Suspending a member whose disk refuses writes, and resuming it.

use std::time;

use crate::core;
use crate::driver;
use crate::log;
use crate::storage;

/// How often a suspended member tries to open its data folder again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

impl<S, T, B> driver::LogThread<S, T, B>
where
    S: driver::StateMachine,
    T: driver::MessageTransport,
    B: storage::StorageBackend,
{
    /// Performs a write to the data folder; returns whether it is durable.
    ///
    /// After an I/O error the member is suspended, after any other error it has failed.
    pub(super) fn write(
        &mut self,
        operation: impl FnOnce(&mut storage::LogStore<B>) -> Result<(), storage::StorageError>,
    ) -> bool {
        match self.folder.write(operation) {
            Ok(()) => true,
            Err(error) if error.kind() == storage::StorageErrorKind::Io => {
                self.suspend(&error);
                false
            }
            Err(error) => {
                self.fail(&error.to_string());
                false
            }
        }
    }

    /// Ends this member's part in the group until its data folder can be opened again.
    fn suspend(&mut self, error: &storage::StorageError) {
        self.view.set_lease(None);
        let now = self.clock.now();
        let suspension = driver::StorageSuspension::new(
            error,
            self.current_status(now),
            now,
            now + RETRY_INTERVAL,
        );
        ::log::error!(
            term = suspension.term().get(),
            applied = self.applied.get();
            "storage is suspended, the member neither votes nor leads: {error}"
        );
        self.suspension = Some(suspension);
        self.node = None;
        self.folder.close();
        self.proposals.fail_all();
        let hint = self.leader();
        self.reads.fail(&driver::ReadError::NotLeader { hint });
    }

    /// Opens the data folder of a suspended member again if an attempt is due.
    pub(super) fn resume_if_due(&mut self, now: core::MonotonicTime) {
        let due = self
            .suspension
            .as_ref()
            .is_some_and(|suspension| now >= suspension.retry_at);
        // The snapshot thread writes to the same folder; its draft must not be removed meanwhile.
        if !due || self.writer.is_busy() {
            return;
        }
        match self.folder.reopen() {
            Ok(recovered) => self.resume(recovered, now),
            Err(error) if error.kind() == storage::StorageErrorKind::Io => self.wait_again(&error),
            Err(error) => self.fail(&error.to_string()),
        }
    }

    fn wait_again(&mut self, error: &storage::StorageError) {
        let Some(suspension) = self.suspension.as_mut() else {
            return;
        };
        suspension.retry_at = self.clock.now() + RETRY_INTERVAL;
        let reason = error.to_string();
        if *suspension.reason != *reason {
            ::log::warn!("storage is still suspended: {reason}");
            suspension.reason = reason.into();
        }
    }

    /// Starts a new node from the recovered state; the state machine keeps what it has applied.
    fn resume(&mut self, recovered: core::RecoveredState, now: core::MonotonicTime) {
        let snapshot_index = recovered
            .snapshot
            .as_ref()
            .map_or(log::LogIndex::ZERO, |image| image.meta.position.index);
        let last_index = recovered
            .entries
            .last()
            .map_or(snapshot_index, |entry| entry.position.index);
        if last_index < self.applied {
            self.fail(&format!(
                "the data folder ends at entry {last_index}, but entry {} had been applied; \
                 replace this member with one that has an empty data folder",
                self.applied
            ));
            return;
        }
        // A received snapshot can have become durable right before the write that failed.
        if let Some(image) = &recovered.snapshot
            && snapshot_index > self.applied
            && !self.install_snapshot(image)
        {
            return;
        }
        let began_at = self
            .suspension
            .take()
            .map_or(now, |suspension| suspension.began_at);
        self.recovered = recovered;
        self.node_settings.boot = self.folder.identity().boot;
        self.node_settings.incarnation = rand::random();
        self.watermarks_saved_at = now;
        self.start_node();
        ::log::info!(
            boot = self.node_settings.boot,
            last = last_index.get(),
            applied = self.applied.get(),
            suspended_ms = u64::try_from(now.since(began_at).as_millis()).unwrap_or(u64::MAX);
            "storage has resumed"
        );
    }
}
