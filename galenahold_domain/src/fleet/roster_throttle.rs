//! How soon a follower is told of news of the roster.

use std::time;

use crate::fleet;

/// How soon a follower is told of news of the roster.
///
/// It answers for many followers of engines that change models by the second: each change told to each
/// follower by itself is most of the traffic between instances. A follower at which no request waits
/// hears of changes together, once in a while; one at which a request waits hears of them at once.
#[derive(Debug, Clone, Copy)]
pub struct RosterThrottle {
    min_interval: time::Duration,
}

impl RosterThrottle {
    /// Tells a follower that is in no hurry of changes at most once in `min_interval`.
    #[must_use]
    pub fn new(min_interval: time::Duration) -> Self {
        Self { min_interval }
    }

    /// Returns how much longer news is held back from a follower that asked `waited` ago and has
    /// followed up to `mark`; none where there is no news.
    #[must_use]
    pub fn delay(
        &self,
        mark: fleet::RosterCursor,
        latest: fleet::RosterCursor,
        urgent: bool,
        waited: time::Duration,
    ) -> Option<time::Duration> {
        if mark == latest {
            return None;
        }
        let same_leader = mark.term == latest.term && mark.version > 0;
        if urgent || !same_leader {
            return Some(time::Duration::ZERO);
        }
        Some(self.min_interval.saturating_sub(waited))
    }
}
