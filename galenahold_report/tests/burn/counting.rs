//! Each window counts only the requests within its span.

use std::time;

use galenahold_report::{BurnWindow, RequestOutcome};

use crate::sample::Sample;

#[test]
fn each_window_excludes_requests_older_than_its_span() {
    let sample = Sample::new();
    let hour = time::Duration::from_hours(1);
    sample.requests(1, "a", RequestOutcome::Answered, 1, time::Duration::ZERO);
    sample.requests(2, "a", RequestOutcome::Answered, 1, hour * 70);
    sample.requests(4, "a", RequestOutcome::Answered, 1, hour * 73);
    sample.requests(8, "a", RequestOutcome::Answered, 1, hour * 74);
    let snapshot = sample.snapshot("e1", hour * 74 + time::Duration::from_secs(1));
    let counted = |window| snapshot.entries[0].counts(window).answered;
    assert_eq!(BurnWindow::ALL.map(counted), [8, 12, 14, 14]);
}

#[test]
fn ring_buffer_slots_are_cleared_when_reused_and_expire_when_idle() {
    let sample = Sample::new();
    let lap = BurnWindow::FiveMinutes.span() + BurnWindow::FiveMinutes.bucket_width();
    sample.requests(3, "a", RequestOutcome::Answered, 1, time::Duration::ZERO);
    sample.requests(1, "a", RequestOutcome::Failed, 1, lap);
    let counts = sample.snapshot("e1", lap).entries[0].counts(BurnWindow::FiveMinutes);
    assert_eq!((counts.answered, counts.failed), (0, 1));
    let idle = sample.snapshot("e1", lap * 3);
    assert_eq!(
        idle.entries[0].counts(BurnWindow::FiveMinutes).requests(),
        0
    );
}

#[test]
fn only_refusals_inside_the_rate_count_against_availability() {
    let sample = Sample::new();
    let now = time::Duration::from_secs(5);
    sample.requests(7, "a", RequestOutcome::RefusedByRule, 9_999, now);
    sample.requests(1, "a", RequestOutcome::RefusedInsideRate, 1, now);
    sample.requests(1, "a", RequestOutcome::Answered, 501, now);
    let report = sample.report(now);
    let row = &report.rows[0];
    assert_eq!((row.requests, row.refused_inside_rate), (2, 1));
    let availability = &row.objectives[0].windows[0];
    assert_eq!((availability.events, availability.bad), (2, 1));
}
