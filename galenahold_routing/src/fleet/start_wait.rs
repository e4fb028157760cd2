//! The wait of requests at an instance that has just started.

use std::time;

/// Time after the start within which an instance expects the first confirmation of its configuration. A
/// control group that starts at the same time has elected a leader by then.
const STARTUP_WINDOW: time::Duration = time::Duration::from_secs(3);

/// Maximum wait: callers of streams give up if the answer has not begun after 2 s.
const MAX_WAIT: time::Duration = time::Duration::from_millis(1_850);

/// Divisor of a request's timeout that gives its maximum wait, so that as much time is left to serve it.
const WAIT_DIVISOR: u32 = 2;

/// Decides how long a request waits at an instance whose configuration was never confirmed.
///
/// After a power loss of the whole fleet, callers retry before the control group has a leader; a request
/// that is refused then has no retry left. An instance that loses contact later refuses at once, since
/// other instances can serve.
#[derive(Debug)]
pub struct StartWait {
    started_at: time::Instant,
}

impl StartWait {
    /// Creates the rule for an instance that starts now.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self { started_at: now }
    }

    /// Returns until when a request waits for the first confirmation, or `None` if it should not wait.
    #[must_use]
    pub fn until(
        &self,
        arrived: time::Instant,
        timeout: Option<time::Duration>,
    ) -> Option<time::Instant> {
        if arrived >= self.started_at + STARTUP_WINDOW {
            return None;
        }
        let wait = timeout.map_or(MAX_WAIT, |timeout| timeout / WAIT_DIVISOR);
        Some(arrived + wait.min(MAX_WAIT))
    }
}
