//! Writing snapshots in the background.

use std::io;
use std::thread;

use crate::driver;
use crate::log;
use crate::storage;

/// A thread that writes snapshots, so that the log thread can continue to send heartbeats.
pub(super) struct SnapshotWriter {
    requests: Option<crossbeam_channel::Sender<log::SnapshotImage>>,
    thread: Option<thread::JoinHandle<()>>,
    busy: bool,
}

impl SnapshotWriter {
    pub(super) fn spawn<S, B>(
        name: &str,
        store: storage::SnapshotStore<B>,
        completions: crossbeam_channel::Sender<driver::LogInput<S>>,
    ) -> io::Result<Self>
    where
        S: driver::StateMachine,
        B: storage::StorageBackend,
    {
        let (requests, inbox) = crossbeam_channel::bounded::<log::SnapshotImage>(1);
        let thread = thread::Builder::new()
            .name(format!("snapshot-{name}"))
            .spawn(move || {
                for image in inbox {
                    let outcome = store.save(&image);
                    let report = driver::LogInput::SnapshotWritten { image, outcome };
                    if completions.send(report).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self {
            requests: Some(requests),
            thread: Some(thread),
            busy: false,
        })
    }

    pub(super) fn is_busy(&self) -> bool {
        self.busy
    }

    pub(super) fn write(&mut self, image: log::SnapshotImage) {
        let sent = self
            .requests
            .as_ref()
            .map(|requests| requests.try_send(image));
        self.busy = matches!(sent, Some(Ok(())));
    }

    pub(super) fn finish_write(&mut self) {
        self.busy = false;
    }

    pub(super) fn join(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            ::log::error!("the snapshot thread panicked");
        }
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.join();
    }
}
