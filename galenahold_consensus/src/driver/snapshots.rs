//! Taking and installing snapshots, and compacting the log after them.

use crate::driver;
use crate::log;
use crate::storage;

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
        if !due || entries == 0 || self.writer.is_busy() {
            return;
        }
        let Some(meta) = node.snapshot_meta(self.applied) else {
            return;
        };
        self.bytes_since_snapshot = 0;
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
        if !self.fail_on_error(outcome) {
            return;
        }
        let Some(node) = self.node.as_mut() else {
            return;
        };
        let index = image.meta.position.index;
        node.snapshot_taken(image);
        let outcome = self.store.compact_to(index);
        self.fail_on_error(&outcome);
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
