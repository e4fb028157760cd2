//! A call whose connection to its backend server broke.

use tokio::sync;

/// A call whose connection to its backend server broke before its answer was complete.
#[derive(Debug)]
pub(crate) struct BrokenCall {
    /// Whether the call was a suspect before.
    was_suspect: bool,
    /// Whether the server crashed; `None` until it was probed.
    has_crashed: sync::watch::Receiver<Option<bool>>,
}

impl BrokenCall {
    pub(super) fn new(was_suspect: bool, has_crashed: sync::watch::Receiver<Option<bool>>) -> Self {
        Self {
            was_suspect,
            has_crashed,
        }
    }

    /// Waits until the server was probed, and returns whether the call may be sent to another one: not if
    /// it was a suspect already and its server crashed.
    pub(crate) async fn may_resend(mut self) -> bool {
        let known = self.has_crashed.wait_for(Option::is_some).await;
        !self.was_suspect || known.is_ok_and(|known| *known == Some(false))
    }
}
