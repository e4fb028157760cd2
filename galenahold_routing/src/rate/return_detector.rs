//! Recognition of callers that come back after a rejection.

use std::collections;
use std::time;

/// Number of calls whose remaining times are kept.
const WINDOW_CALLS: usize = 64;

/// Calls after which the usual remaining time counts as known.
const MIN_CALLS: usize = 8;

/// A caller that was rejected waits for at least 0.2 s, and calls vary by the time that they take to arrive.
const MIN_DIFFERENCE: time::Duration = time::Duration::from_millis(100);

/// Part of the usual time by which a returning caller has less, as a divisor.
const DIFFERENCE_DIVISOR: u32 = 40;

/// Learns how much time the callers of one route usually have, and recognizes those that come back.
///
/// A caller that was rejected and retries as told has less time left than when it came first. During an
/// overload up to half of the calls come back, so the usual time is taken from the upper quarter of the recent
/// calls. Where callers have different limits, the difference has to exceed the spread of that quarter.
///
/// The workload behind it: a team at six times its usual rate for 11 s, whose callers retry once.
#[derive(Debug, Default)]
pub struct ReturnDetector {
    recent: collections::VecDeque<time::Duration>,
}

impl ReturnDetector {
    /// Records the remaining time of a call as it arrives; returns whether its caller came back.
    pub fn observe(&mut self, remaining: time::Duration) -> bool {
        let is_returning = self
            .usual_minimum()
            .is_some_and(|minimum| remaining < minimum);
        if self.recent.len() == WINDOW_CALLS {
            self.recent.pop_front();
        }
        self.recent.push_back(remaining);
        is_returning
    }

    /// Returns the least time that a new caller is expected to have; absent until enough calls are known.
    fn usual_minimum(&self) -> Option<time::Duration> {
        if self.recent.len() < MIN_CALLS {
            return None;
        }
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let highest = sorted[sorted.len() - 1];
        let usual = sorted[sorted.len() * 3 / 4];
        let spread = highest.saturating_sub(usual) * 4;
        let difference = MIN_DIFFERENCE.max(usual / DIFFERENCE_DIVISOR).max(spread);
        usual.checked_sub(difference)
    }
}
