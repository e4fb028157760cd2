//! Why a call is not placed.

use std::time;

/// Why a call is not placed, and when a repeat may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerRefusal {
    /// The cause.
    pub cause: RefusalCause,
    /// When a place is expected.
    pub retry_after: time::Duration,
}

/// Why a call is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No server of the service is known that takes requests.
    NoServer,
    /// The model is not loaded, and its load would take longer than the caller waits.
    NotLoaded,
    /// All places are taken for longer than the caller waits.
    Full,
}

impl RefusalCause {
    /// Returns the cause's name in logs and answers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::NotLoaded => "model_not_loaded",
            Self::Full => "all_places_taken",
        }
    }
}
