//! Deadlines of a request that waits for tokens.

use std::time;

/// The deadlines until which a request waits for its team's tokens, by the cause of the shortage.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChargeTimeout {
    /// The deadline if the control group has stated that the team's tokens are used up.
    pub(crate) rate_deadline: time::Instant,
    /// The deadline if the control group does not answer, or its leader was elected too recently to
    /// know the level of the team's bucket.
    pub(crate) control_deadline: time::Instant,
}

impl ChargeTimeout {
    /// Returns the deadline that applies, given whether the control group knows the team's level.
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
