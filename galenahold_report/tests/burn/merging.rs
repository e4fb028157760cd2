//! Snapshots of instances are summed, each instance once.

use std::time;

use galenahold_report::{BurnSnapshot, BurnWindow, RequestOutcome};

use crate::sample::Sample;

#[test]
fn counts_of_instances_are_summed_and_repeated_snapshots_ignored() {
    let (first, second) = (Sample::new(), Sample::new());
    let now = time::Duration::from_secs(30);
    first.requests(2, "a", RequestOutcome::Answered, 1, now);
    second.requests(3, "a", RequestOutcome::Failed, 1, now);
    second.requests(1, "b", RequestOutcome::Answered, 1, now);
    let mut merged = BurnSnapshot::default();
    merged.merge(&second.snapshot("e2", now));
    merged.merge(&first.snapshot("e1", now));
    merged.merge(&second.snapshot("e2", now));
    let names: Vec<_> = merged.instances.iter().map(|name| &**name).collect();
    assert_eq!(names, ["e1", "e2"]);
    let counts = merged.entries[0].counts(BurnWindow::OneHour);
    assert_eq!((counts.answered, counts.failed), (2, 3));
    assert_eq!(merged.entries[0].history[0].counts, counts);
    assert_eq!(&*merged.entries[1].team, "b");
}

#[test]
fn snapshot_round_trips_through_json() {
    let sample = Sample::new();
    sample.requests(2, "a", RequestOutcome::Answered, 1, time::Duration::ZERO);
    let snapshot = sample.snapshot("e1", time::Duration::ZERO);
    let text = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(
        serde_json::from_str::<BurnSnapshot>(&text).unwrap(),
        snapshot
    );
}
