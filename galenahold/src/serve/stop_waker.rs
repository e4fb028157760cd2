//! Ends the wait for a signal.

use signal_hook::iterator;

/// Ends the wait for a signal, where the instance has to stop by itself.
#[derive(Debug)]
pub(crate) struct StopWaker {
    handle: iterator::Handle,
}

impl StopWaker {
    /// Takes over the handle of the subscription.
    pub(super) fn new(handle: iterator::Handle) -> Self {
        Self { handle }
    }

    /// Ends the wait.
    pub(crate) fn wake(&self) {
        self.handle.close();
    }
}
