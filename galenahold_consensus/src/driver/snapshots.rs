//! Taking and installing snapshots, and compacting the log after them.

use std::time;

use crate::driver;
use crate::log;
use crate::storage;

/// How long a snapshot that could not be written is not tried again. It takes as much space as the
/// state, which a nearly full disk needs for the log.
const SNAPSHOT_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(5);

impl<S, T, B> driver::LogThread<S, T, B>
where
    S: driver::StateMachine,
    T: driver::MessageTransport,
    B: storage::StorageBackend,
{
    pub(super) fn take_snapshot_if_due(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let position = node.snapshot_position().unwrap_or_default();
        let entries = self.applied.get().saturating_sub(position.index.get());
        let due = entries >= self.settings.snapshot_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_bytes;
        let delayed = self.clock.now() < self.snapshot_retry_at;
        if !due || delayed || entries == 0 || self.writer.is_busy() {
            return;
        }
        let Some(meta) = node.snapshot_meta(self.applied) else {
            return;
        };
        self.writer.write(log::SnapshotImage {
            meta,
            data: self.machine.snapshot().into(),
        });
    }

    pub(super) fn snapshot_written(
        &mut self,
        image: log::SnapshotImage,
        outcome: &Result<(), storage::StorageError>,
    ) {
        self.writer.finish_write();
        if let Err(error) = outcome {
            self.snapshot_retry_at = self.clock.now() + SNAPSHOT_RETRY_INTERVAL;
            ::log::warn!(index = image.meta.position.index.get(); "cannot write a snapshot, it is tried again later: {error}");
            return;
        }
        self.bytes_since_snapshot = 0;
        let Some(node) = self.node.as_mut() else {
            return;
        };
        let index = image.meta.position.index;
        node.snapshot_taken(image);
        self.write(|store| store.compact_to(index));
    }

    pub(super) fn install_snapshot(&mut self, image: &log::SnapshotImage) -> bool {
        if let Err(error) = self.machine.restore(&image.data) {
            self.fail(&error.to_string());
            return false;
        }
        self.applied = image.meta.position.index;
        self.bytes_since_snapshot = 0;
        true
    }
}
