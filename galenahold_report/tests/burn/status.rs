//! A status requires its burn rate over both its long and its short window.

use std::time;

use galenahold_report::{BurnStatus, RequestOutcome};

use crate::sample::Sample;

const HOUR: time::Duration = time::Duration::from_hours(1);

/// Returns the availability status; a failure rate of 1 % is a burn rate of 1.
fn status(sample: &Sample, after: time::Duration) -> BurnStatus {
    sample.report(after).rows[0].objectives[0].status
}

fn requests(sample: &Sample, good: u64, bad: u64, after: time::Duration) {
    sample.requests(good, "a", RequestOutcome::Answered, 1, after);
    sample.requests(bad, "a", RequestOutcome::Failed, 1, after);
}

#[test]
fn fast_burn_ends_when_the_short_window_recovers() {
    let sample = Sample::new();
    requests(&sample, 85, 15, HOUR);
    assert_eq!(status(&sample, HOUR), BurnStatus::FastBurn);
    let later = HOUR + time::Duration::from_mins(50);
    requests(&sample, 1, 0, later);
    let burn = sample.report(later).rows[0].objectives[0].clone();
    assert!(burn.windows[1].burn_rate > BurnStatus::FAST_RATE);
    assert!(burn.windows[0].burn_rate < BurnStatus::FAST_RATE);
    assert_eq!(status(&sample, later + HOUR), BurnStatus::SlowBurn);
}

#[test]
fn burn_just_under_a_threshold_is_one_status_lower() {
    for (bad, expected) in [
        (5, BurnStatus::Good),
        (10, BurnStatus::SlowBurn),
        (59, BurnStatus::SlowBurn),
        (60, BurnStatus::FastBurn),
    ] {
        let sample = Sample::new();
        requests(&sample, 1_000 - bad, bad, HOUR);
        assert_eq!(status(&sample, HOUR), expected, "{bad} of 1000");
    }
}

#[test]
fn budget_left_is_the_unused_share_of_three_days() {
    let sample = Sample::new();
    requests(&sample, 996, 4, HOUR);
    let burn = sample.report(HOUR * 20).rows[0].objectives[0].clone();
    assert!((burn.budget_left - 0.6).abs() < 1e-9);
    assert_eq!(burn.windows[0].events, 0);
}
