//! How long a request waits for tokens.

use std::time;

/// How long a request waits for its team's tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChargeTimeout {
    /// Until when it waits where control says that tokens are short.
    pub(crate) rate_deadline: time::Instant,
    /// Until when it waits where control does not answer, or leads too short a time to know the team's level.
    pub(crate) control_deadline: time::Instant,
}

impl ChargeTimeout {
    /// Returns until when a request waits, given whether control has told it the team's level.
    pub(super) fn until(self, level_known: bool) -> time::Instant {
        if level_known {
            self.rate_deadline
        } else {
            self.control_deadline
        }
    }
}

impl From<time::Instant> for ChargeTimeout {
    fn from(deadline: time::Instant) -> Self {
        Self {
            rate_deadline: deadline,
            control_deadline: deadline,
        }
    }
}
