//! The receiving end of a periodic timer.

use std::time;

use tokio::sync::mpsc;

/// A subscription to the timer service. Ticks that are due while an earlier one is unread are dropped.
#[derive(Debug)]
pub(crate) struct TimerSubscription {
    pub(super) ticks: mpsc::Receiver<time::Instant>,
}

impl TimerSubscription {
    /// Waits for the next tick; `None` once the service has stopped.
    pub(crate) async fn tick(&mut self) -> Option<time::Instant> {
        self.ticks.recv().await
    }
}
