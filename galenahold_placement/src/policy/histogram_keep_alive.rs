//! Keeps each replica by the gaps between uses of its model.

use std::time;

use crate::policy;

const DEFAULT_IDLE_PER_AVOIDED_SECOND: f64 = 60.0;
const DEFAULT_KEEP: time::Duration = time::Duration::from_mins(10);
const DEFAULT_LONGEST_KEEP: time::Duration = time::Duration::from_hours(1);
const DEFAULT_LEAST_KEEP: time::Duration = time::Duration::from_secs(30);
const LEAST_GAPS: u32 = 4;
const RETURN_HORIZON: time::Duration = time::Duration::from_mins(5);

/// Keeps each replica by the histogram of the gaps between uses of its model or adapter.
///
/// It picks the time to keep that costs least, where an idle second costs one and a cold start costs
/// its load time times a price. Models with few known gaps are kept for a fixed time. When memory is
/// needed, the lowest reload time x probability of return per byte goes first.
#[derive(Debug)]
pub struct HistogramKeepAlive {
    idle_per_avoided_second: f64,
    unknown_keep: time::Duration,
    least_keep: time::Duration,
    longest_keep: time::Duration,
}

impl HistogramKeepAlive {
    /// Returns a policy that spends so many idle seconds to avoid one second of a cold start.
    #[must_use]
    pub fn new(idle_per_avoided_second: f64) -> Self {
        Self {
            idle_per_avoided_second,
            unknown_keep: DEFAULT_KEEP,
            least_keep: DEFAULT_LEAST_KEEP,
            longest_keep: DEFAULT_LONGEST_KEEP,
        }
    }

    /// Returns the policy with another time for models with few known gaps.
    #[must_use]
    pub fn with_unknown_keep(mut self, keep: time::Duration) -> Self {
        self.unknown_keep = keep;
        self
    }

    /// Returns the policy with another least time to keep, so that what loads in no time is not
    /// loaded anew for each request.
    #[must_use]
    pub fn with_least_keep(mut self, keep: time::Duration) -> Self {
        self.least_keep = keep;
        self
    }

    /// Returns the policy with another longest time to keep.
    #[must_use]
    pub fn with_longest_keep(mut self, keep: time::Duration) -> Self {
        self.longest_keep = keep;
        self
    }

    /// Returns the time to keep with the least expected cost of idling and cold starts.
    fn cheapest_keep(&self, replica: &policy::IdleReplica<'_>) -> time::Duration {
        let cold_start = replica.reload.as_secs_f64() * self.idle_per_avoided_second;
        let mut best = time::Duration::ZERO;
        let mut best_cost = cold_start;
        let mut returned = 0.0;
        let mut idled = 0.0;
        for gap in replica.history.shares() {
            if gap.up_to > self.longest_keep {
                break;
            }
            let seconds = gap.up_to.as_secs_f64();
            returned += gap.share;
            idled += gap.share * seconds;
            let missed = 1.0 - returned;
            let cost = idled + missed * (seconds + cold_start);
            if cost < best_cost {
                best_cost = cost;
                best = gap.up_to;
            }
        }
        best
    }
}

impl Default for HistogramKeepAlive {
    fn default() -> Self {
        Self::new(DEFAULT_IDLE_PER_AVOIDED_SECOND)
    }
}

impl policy::KeepAlive for HistogramKeepAlive {
    fn keep_for(&self, replica: &policy::IdleReplica<'_>) -> Option<time::Duration> {
        if replica.history.total() < LEAST_GAPS {
            return Some(self.unknown_keep);
        }
        Some(self.cheapest_keep(replica).max(self.least_keep))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "a rank needs no more than 52 bits"
    )]
    fn worth(&self, replica: &policy::IdleReplica<'_>) -> f64 {
        let returns = replica
            .history
            .return_probability(replica.idle, RETURN_HORIZON);
        replica.reload.as_secs_f64() * returns / replica.bytes.0.max(1) as f64
    }
}
