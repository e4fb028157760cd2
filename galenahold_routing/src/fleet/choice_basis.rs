//! The inputs of a server selection, for log lines.

use std::time;

/// How well a server suits a call, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerFit {
    /// The call is expected to be on time, or nothing is known about its duration.
    OnTime,
    /// The call is expected to be on time, but its prompt makes streams at the server pause too long.
    Crowded,
    /// The call is expected to begin after its objective.
    Late,
    /// The call is expected to begin late and makes streams at the server pause too long.
    LateCrowded,
    /// The call is not expected to be complete before its deadline.
    Incomplete,
}

impl ServerFit {
    /// Returns the name of the fit in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Crowded => "crowded",
            Self::Late => "late",
            Self::LateCrowded => "late_crowded",
            Self::Incomplete => "incomplete",
        }
    }
}

/// What a server selection was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceBasis {
    /// How well the server suited the call.
    pub fit: ServerFit,
    /// Calls of all instances at the server, as far as they were known.
    pub running: u32,
    /// Unread prompt tokens of those calls.
    pub unread_tokens: u32,
    /// The age of the view of other instances' calls; `None` if there was none.
    pub view_age: Option<time::Duration>,
    /// Predicted time until the first event, if it was known.
    pub first: Option<time::Duration>,
    /// Predicted time until the last event, if it was known.
    pub total: Option<time::Duration>,
}
