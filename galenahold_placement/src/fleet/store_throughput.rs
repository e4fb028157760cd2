//! How many loads from the weight store are worth having under way at once.

use std::time;

/// Loads under way at once before the store's pace is known. Those that an earlier leader ordered may still be
/// under way, and every known store does two at full speed.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Loads under way at once however fast the store is: each of them holds memory that serves no request yet.
const MAX_CONCURRENT_LOADS: usize = 8;

/// By how much a load may exceed its declared time and still count as one at full speed: engines state what
/// they hold about once a second.
const FULL_SPEED_FACTOR: f64 = 1.25;

/// How long the pace is not raised after a load that was slow.
const RAISE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Learns how many loads from the weight store are worth having under way at once.
///
/// A store does a few loads at full speed, and each further one makes those that begin with it slower by its
/// share. Nobody declares how many, so it is seen from how long loads take. It answers the load where many rare
/// models are asked for at once: with fewer loads under way each is faster, and the model with the most demand is
/// there first.
#[derive(Debug)]
pub(super) struct StoreThroughput {
    max_concurrent_loads: usize,
    may_raise_from: Option<time::Instant>,
}

impl StoreThroughput {
    /// Returns how many loads may be under way at once.
    pub(super) fn max_concurrent_loads(&self) -> usize {
        self.max_concurrent_loads
    }

    /// Takes up how long a load took that began as one of `concurrent_loads` loads under way.
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

/// Returns how many loads the store does at full speed, where one of `concurrent_loads` was slower by a factor.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a few loads, divided by a factor above one"
)]
fn full_speed_loads(concurrent_loads: usize, slowdown: f64) -> usize {
    (concurrent_loads as f64 / slowdown).round() as usize
}
