//! How long a request waits at an instance that has just started.

use std::time;

/// How long after its start an instance expects the first confirmation of its configuration: a control
/// group that starts with it has elected a leader by then.
const STARTUP_WINDOW: time::Duration = time::Duration::from_secs(3);

/// The longest wait: callers of streams give an answer up that has not begun after 2 s.
const MAX_WAIT: time::Duration = time::Duration::from_millis(1_850);

/// The share of its time that a request may wait, so that as much is left to serve it.
const WAIT_DIVISOR: u32 = 2;

/// Decides how long a request waits at an instance whose configuration was never confirmed.
///
/// It answers the load after a loss of all power: callers retry before the control group has a leader, and
/// one that is refused then has no retry left. An instance that is cut off later refuses at once, since
/// others can serve.
#[derive(Debug)]
pub struct StartWait {
    started_at: time::Instant,
}

impl StartWait {
    /// Creates the rule of an instance that starts now.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self { started_at: now }
    }

    /// Returns until when a request waits for the first confirmation; `None` where it should not.
    #[must_use]
    pub fn until(
        &self,
        arrived: time::Instant,
        timeout: Option<time::Duration>,
    ) -> Option<time::Instant> {
        if arrived >= self.started_at + STARTUP_WINDOW {
            return None;
        }
        let share = timeout.map_or(MAX_WAIT, |timeout| timeout / WAIT_DIVISOR);
        Some(arrived + share.min(MAX_WAIT))
    }
}
