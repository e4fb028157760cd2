//! Remaining times of waiting calls, by which the leader orders loads.

use std::time;

use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::fixture;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn times(scheduler: &fleet::CallScheduler, now: time::Instant) -> Vec<fleet::CallTimes> {
    let mut calls = scheduler.waiting_calls(now);
    let key = (fixture::service(), name::ModelName::from("m"));
    calls.remove(&key).unwrap_or_default()
}

/// Guards against loads that are ordered by the number of waiting calls alone: on a day of fleet I, a
/// call was sent 2 s before its deadline after a wait of 16.4 s.
#[test]
fn waiting_calls_are_listed_with_their_remaining_times_the_earliest_due_first() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    // The numbers 1 to 12, in neither order.
    for due_s in (1..=12).map(|number| number * 5 % 13) {
        let mut requirements = fixture::requirements("m", SECOND * 20, now);
        requirements.due_at = now + SECOND * due_s;
        fixture::waiting(&scheduler.submit(requirements, now));
    }
    let calls = times(&scheduler, now + SECOND * 2);
    let due: Vec<_> = calls.iter().map(|call| call.due_in.as_secs()).collect();
    assert_eq!(due, [0, 0, 1, 2, 3, 4, 5, 6]);
    assert!(calls.iter().all(|call| call.leaves_in == SECOND * 18));
}

#[test]
fn call_at_a_stopping_instance_leaves_when_the_instance_stops() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    fixture::waiting(&scheduler.submit(fixture::requirements("m", SECOND * 20, now), now));
    scheduler.close_at(now + SECOND * 9);
    assert_eq!(times(&scheduler, now)[0].leaves_in, SECOND * 9);
}
