//! Waits for the last lines at the end of a process.

use std::time;

use crate::logging::bounded_writer;

/// Waits for the last lines at the end of a process.
#[derive(Debug)]
pub struct LogTail {
    entries: crossbeam_channel::Sender<bounded_writer::LogEntry>,
}

impl LogTail {
    pub(super) fn new(entries: crossbeam_channel::Sender<bounded_writer::LogEntry>) -> Self {
        Self { entries }
    }

    /// Waits until all lines so far are written, for `limit` at most; false where they are not.
    ///
    /// An output that takes nothing must not keep a process from its end.
    #[must_use]
    pub fn wait(&self, limit: time::Duration) -> bool {
        let deadline = time::Instant::now() + limit;
        let (mark, written) = crossbeam_channel::bounded(1);
        let entry = bounded_writer::LogEntry::Mark(mark);
        let sent = self.entries.send_deadline(entry, deadline);
        sent.is_ok() && written.recv_deadline(deadline).is_ok()
    }
}
