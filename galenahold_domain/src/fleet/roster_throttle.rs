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
    rest: time::Duration,
}

impl RosterThrottle {
    /// Tells a follower that is in no hurry of changes at most once in `rest`.
    #[must_use]
    pub fn new(rest: time::Duration) -> Self {
        Self { rest }
    }

    /// Returns how much longer news is held back from a follower that asked `asked_for` ago and has
    /// followed up to `mark`; none where there is no news.
    #[must_use]
    pub fn delay(
        &self,
        mark: fleet::RosterCursor,
        own: fleet::RosterCursor,
        in_hurry: bool,
        asked_for: time::Duration,
    ) -> Option<time::Duration> {
        if mark == own {
            return None;
        }
        let of_this_leader = mark.term == own.term && mark.version > 0;
        if in_hurry || !of_this_leader {
            return Some(time::Duration::ZERO);
        }
        Some(self.rest.saturating_sub(asked_for))
    }
}
