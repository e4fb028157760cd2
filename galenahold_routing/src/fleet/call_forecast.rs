//! The predicted course of a call at a server.

use std::time;

/// When the events of a call are expected if it is sent to a server now.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallForecast {
    /// Time for an event, in seconds.
    pub(super) event_s: f64,
    /// Time to read a prompt token, in seconds.
    pub(super) token_s: f64,
    /// Time until the first event.
    pub(super) first: time::Duration,
    /// Time until the last event.
    pub(super) total: time::Duration,
}

/// Converts seconds to a duration; values out of range become the closest one.
pub(super) fn duration(seconds: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(time::Duration::MAX)
}
