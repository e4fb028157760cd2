//! How long a request waits for tokens.

use std::time;

/// How long a request waits for its team's tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChargePatience {
    /// Until when it waits where control says that tokens are short.
    pub(crate) for_rate: time::Instant,
    /// Until when it waits where control does not answer.
    pub(crate) for_control: time::Instant,
}

impl ChargePatience {
    /// Returns until when a request waits, given whether control has answered since it came.
    pub(super) fn until(self, answered: bool) -> time::Instant {
        if answered {
            self.for_rate
        } else {
            self.for_control
        }
    }
}

impl From<time::Instant> for ChargePatience {
    fn from(deadline: time::Instant) -> Self {
        Self {
            for_rate: deadline,
            for_control: deadline,
        }
    }
}
