//! Keep-alive policy based on idle gap histograms.

use std::time;

use crate::policy;

/// Idle seconds that are accepted to avoid one second of a cold start.
const DEFAULT_COLD_START_PRICE: f64 = 60.0;
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_mins(10);
const DEFAULT_MAX_KEEP_ALIVE: time::Duration = time::Duration::from_hours(1);
const DEFAULT_MIN_KEEP_ALIVE: time::Duration = time::Duration::from_secs(30);
/// Number of recorded gaps below which the fallback keep-alive time applies.
const MIN_GAPS: u32 = 4;
/// Time within which the next request has to arrive to count in the return probability.
const RETURN_HORIZON: time::Duration = time::Duration::from_mins(5);

/// Derives the keep-alive time of a replica from the histogram of idle gaps of its model or
/// adapter.
///
/// The policy minimizes the expected cost, where an idle second costs one and a cold start costs
/// its load time times a price. Artifacts with few recorded gaps get a fixed time. When memory is
/// needed, the replica with the lowest product of reload time and return probability per byte is
/// evicted first.
#[derive(Debug)]
pub struct HistogramKeepAlive {
    cold_start_price: f64,
    fallback_keep_alive: time::Duration,
    min_keep_alive: time::Duration,
    max_keep_alive: time::Duration,
}

impl HistogramKeepAlive {
    /// Creates a policy that accepts `cold_start_price` idle seconds to avoid one second of a cold
    /// start.
    #[must_use]
    pub fn new(cold_start_price: f64) -> Self {
        Self {
            cold_start_price,
            fallback_keep_alive: DEFAULT_KEEP_ALIVE,
            min_keep_alive: DEFAULT_MIN_KEEP_ALIVE,
            max_keep_alive: DEFAULT_MAX_KEEP_ALIVE,
        }
    }

    /// Sets the keep-alive time of artifacts with few recorded gaps.
    #[must_use]
    pub fn with_fallback_keep_alive(mut self, keep_alive: time::Duration) -> Self {
        self.fallback_keep_alive = keep_alive;
        self
    }

    /// Sets the minimum keep-alive time, so that artifacts with very short load times are not
    /// loaded again for each request.
    #[must_use]
    pub fn with_min_keep_alive(mut self, keep_alive: time::Duration) -> Self {
        self.min_keep_alive = keep_alive;
        self
    }

    /// Sets the maximum keep-alive time.
    #[must_use]
    pub fn with_max_keep_alive(mut self, keep_alive: time::Duration) -> Self {
        self.max_keep_alive = keep_alive;
        self
    }

    /// Returns the keep-alive time with the lowest expected cost of idle time and cold starts.
    fn cheapest_keep_alive(&self, replica: &policy::IdleReplica<'_>) -> time::Duration {
        let cold_start_cost = replica.reload.as_secs_f64() * self.cold_start_price;
        let mut best_keep_alive = time::Duration::ZERO;
        let mut best_cost = cold_start_cost;
        let mut return_share = 0.0;
        let mut idle_seconds = 0.0;
        for gap in replica.history.shares() {
            if gap.upper_bound > self.max_keep_alive {
                break;
            }
            let seconds = gap.upper_bound.as_secs_f64();
            return_share += gap.share;
            idle_seconds += gap.share * seconds;
            let miss_probability = 1.0 - return_share;
            let cost = idle_seconds + miss_probability * (seconds + cold_start_cost);
            if cost < best_cost {
                best_cost = cost;
                best_keep_alive = gap.upper_bound;
            }
        }
        best_keep_alive
    }
}

impl Default for HistogramKeepAlive {
    fn default() -> Self {
        Self::new(DEFAULT_COLD_START_PRICE)
    }
}

impl policy::KeepAlive for HistogramKeepAlive {
    fn keep_alive_time(&self, replica: &policy::IdleReplica<'_>) -> Option<time::Duration> {
        if replica.history.total() < MIN_GAPS {
            return Some(self.fallback_keep_alive);
        }
        Some(self.cheapest_keep_alive(replica).max(self.min_keep_alive))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "52 bits are precise enough for a ranking"
    )]
    fn retention_value(&self, replica: &policy::IdleReplica<'_>) -> f64 {
        let return_probability = replica
            .history
            .return_probability(replica.idle, RETURN_HORIZON);
        replica.reload.as_secs_f64() * return_probability / replica.bytes.0.max(1) as f64
    }
}
