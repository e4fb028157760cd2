//! The scheduler's reasons to refuse a call.

use std::time;

/// Why a call is refused, and when it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerRefusal {
    /// Why the call is refused.
    pub cause: RefusalCause,
    /// The time after which a slot is expected.
    pub retry_after: time::Duration,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No known server of the service takes requests.
    NoServer,
    /// The model is not loaded, and its load would take longer than the caller waits.
    NotLoaded,
    /// All servers that could take the call have asked for a pause.
    Closed,
    /// All slots are occupied for longer than the caller waits.
    Full,
}

impl RefusalCause {
    /// Returns the name of the cause in log lines and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::NotLoaded => "model_not_loaded",
            Self::Closed => "servers_closed",
            Self::Full => "all_places_taken",
        }
    }
}
