//! Lifetime of a running member.

use std::thread;

use crate::driver;

/// A running member of a replicated log; dropping it stops the member.
pub struct ReplicatedLog<S: driver::StateMachine> {
    handle: driver::LogHandle<S>,
    thread: Option<thread::JoinHandle<()>>,
}

impl<S: driver::StateMachine> ReplicatedLog<S> {
    pub(super) fn new(handle: driver::LogHandle<S>, thread: thread::JoinHandle<()>) -> Self {
        Self {
            handle,
            thread: Some(thread),
        }
    }

    /// Returns a handle that can be used from any thread.
    #[must_use]
    pub fn handle(&self) -> driver::LogHandle<S> {
        self.handle.clone()
    }

    /// Stops the member and waits until its threads have ended.
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.handle.request_stop();
        if thread.join().is_err() {
            ::log::error!("the thread of the replicated log panicked");
        }
    }
}

impl<S: driver::StateMachine> Drop for ReplicatedLog<S> {
    fn drop(&mut self) {
        self.join();
    }
}
