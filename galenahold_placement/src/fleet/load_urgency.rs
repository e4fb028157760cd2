//! How urgent a load is, by the calls that it serves in time.
//!
//! The rule is that of apparent tardiness costs (Vepsalainen and Morton 1987): the weight of a call falls
//! exponentially with the slack that remains after the load, and the sum is divided by the duration of
//! the load.

use std::time;

use crate::fleet;

/// Share of its weight that a call retains once its objective is missed. Late responses are worth a
/// seventh to a quarter of those on time to the callers of rare models.
const LATE_WEIGHT: f64 = 0.25;

/// Number of load times of slack after which the weight of a call has fallen to 1/e. Schedulers use one
/// to three by the length of the queue; two suits a queue of about two loads.
const SLACK_LOADS: f64 = 2.0;

/// Time for which calls are expected to go on arriving at the recent rate.
const EXPECTED_SPAN: time::Duration = time::Duration::from_secs(4);

/// Weight of an expected call relative to one that waits and is due.
const EXPECTED_WEIGHT: f64 = 0.3;

/// Returns the weighted calls per second of load time that a load of the given duration serves.
pub(super) fn load_urgency(
    calls: impl Iterator<Item = fleet::CallWindow>,
    rate: f64,
    load_duration: time::Duration,
    now: time::Instant,
) -> f64 {
    let waiting: f64 = calls
        .map(|call| call_weight(call, load_duration, now))
        .sum();
    (waiting + expected_calls(rate)) / load_duration.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns the weight of the calls that are expected to arrive soon.
pub(super) fn expected_calls(rate: f64) -> f64 {
    rate * EXPECTED_SPAN.as_secs_f64() * EXPECTED_WEIGHT
}

/// Returns the weight of a waiting call for a load that starts now.
fn call_weight(call: fleet::CallWindow, load_duration: time::Duration, now: time::Instant) -> f64 {
    let completes_at = now + load_duration;
    if call.leaves_at <= completes_at {
        return 0.0;
    }
    if call.due_at < completes_at {
        return LATE_WEIGHT;
    }
    let slack = call.due_at.saturating_duration_since(completes_at);
    let scale = load_duration.as_secs_f64() * SLACK_LOADS;
    (-slack.as_secs_f64() / scale.max(f64::MIN_POSITIVE)).exp()
}
