//! Adaptive limit on concurrent loads from the weight store.

use std::time;

/// Limit before the store's throughput is known. Loads that an earlier leader ordered may still be
/// in progress, and every known store handles two at full speed.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Highest limit, however fast the store is: each load in progress holds memory that serves no
/// request yet.
const MAX_CONCURRENT_LOADS: usize = 8;

/// Factor by which a load may exceed its declared time and still count as one at full speed, since
/// engines report what they hold only about once a second.
const FULL_SPEED_FACTOR: f64 = 1.25;

/// How long the limit is not raised after a slow load.
const RAISE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Learns how many concurrent loads the weight store handles at full speed.
///
/// A store handles a few loads at full speed; each further load slows down the loads that start
/// with it. The number is not declared, so it is inferred from load times. The limit matters when
/// many rare models are requested at once: with fewer concurrent loads each load is faster, and the
/// model with the most demand is ready first.
#[derive(Debug)]
pub(super) struct StoreThroughput {
    max_concurrent_loads: usize,
    may_raise_from: Option<time::Instant>,
}

impl StoreThroughput {
    /// Returns the maximum number of concurrent loads.
    pub(super) fn max_concurrent_loads(&self) -> usize {
        self.max_concurrent_loads
    }

    /// Records the duration of a load that started as one of `concurrent_loads`.
    pub(super) fn record(
        &mut self,
        concurrent_loads: usize,
        declared: time::Duration,
        took: time::Duration,
        now: time::Instant,
    ) {
        let slowdown = took.as_secs_f64() / declared.as_secs_f64().max(f64::MIN_POSITIVE);
        if slowdown > FULL_SPEED_FACTOR {
            self.max_concurrent_loads = full_speed_loads(concurrent_loads, slowdown)
                .clamp(MIN_CONCURRENT_LOADS, MAX_CONCURRENT_LOADS);
            self.may_raise_from = Some(now + RAISE_PAUSE);
        } else if self.may_raise_from.is_none_or(|from| now >= from) {
            let raised = (concurrent_loads + 1).min(MAX_CONCURRENT_LOADS);
            self.max_concurrent_loads = self.max_concurrent_loads.max(raised);
        }
    }
}

impl Default for StoreThroughput {
    fn default() -> Self {
        Self {
            max_concurrent_loads: MIN_CONCURRENT_LOADS,
            may_raise_from: None,
        }
    }
}

/// Returns how many loads the store handles at full speed, given the slowdown of one of
/// `concurrent_loads`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the count is small and the slowdown is above one"
)]
fn full_speed_loads(concurrent_loads: usize, slowdown: f64) -> usize {
    (concurrent_loads as f64 / slowdown).round() as usize
}
