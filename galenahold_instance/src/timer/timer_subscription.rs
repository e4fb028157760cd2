//! One subscription to the timer service.

use std::time;

use tokio::sync::mpsc;

/// One subscription to the timer service. Ticks that come while the last one is unread are dropped.
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
