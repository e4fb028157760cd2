//! Batches the updates of the roster that are sent to a follower.

use std::time;

use crate::fleet;

/// Decides how long an update of the roster is held back from a follower.
///
/// Engines change models by the second and have many followers, so that sending each change to each
/// follower separately would be most of the traffic between instances. A follower without waiting
/// requests gets changes in batches; a follower with a waiting request gets each change at once.
#[derive(Debug, Clone, Copy)]
pub struct RosterThrottle {
    min_interval: time::Duration,
}

impl RosterThrottle {
    /// Creates a throttle that sends a follower without waiting requests at most one update per
    /// `min_interval`.
    #[must_use]
    pub fn new(min_interval: time::Duration) -> Self {
        Self { min_interval }
    }

    /// Returns how much longer an update is held back from a follower.
    ///
    /// The follower asked `waited` ago and has followed up to `cursor`. `urgent` says whether a
    /// request waits there. Returns `None` if the roster has not changed.
    #[must_use]
    pub fn delay(
        &self,
        cursor: fleet::RosterCursor,
        latest: fleet::RosterCursor,
        urgent: bool,
        waited: time::Duration,
    ) -> Option<time::Duration> {
        if cursor == latest {
            return None;
        }
        let same_leader = cursor.term == latest.term && cursor.version > 0;
        if urgent || !same_leader {
            return Some(time::Duration::ZERO);
        }
        Some(self.min_interval.saturating_sub(waited))
    }
}
