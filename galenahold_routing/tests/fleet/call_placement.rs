//! The choice of the server that takes a call.

use std::collections;
use std::time;

use galenahold_domain::{fleet as domain, name};
use galenahold_routing::fleet;

use crate::fixture;

const TIMEOUT: time::Duration = time::Duration::from_secs(2);

fn server(submission: fleet::CallSubmission) -> String {
    fixture::placed(submission).server.to_string()
}

#[test]
fn calls_are_spread_over_equally_busy_servers() {
    let now = time::Instant::now();
    let records = [fixture::record("s1", &[]), fixture::record("s2", &[])];
    let mut scheduler = fixture::scheduler(&records, now);
    let taken: collections::BTreeSet<_> = (0..2)
        .map(|_| server(scheduler.submit(fixture::plain_requirements(now), now)))
        .collect();
    assert_eq!(taken.len(), 2);
}

/// Calls that crashed together once must not crash together again, although they share their prompt's prefix.
#[test]
fn calls_that_may_crash_servers_are_kept_apart() {
    let now = time::Instant::now();
    let records = ["s1", "s2", "s3"].map(|server| fixture::record(server, &["m"]));
    let mut scheduler = fixture::scheduler(&records, now);
    let taken: collections::BTreeSet<_> = (0..3)
        .map(|place| {
            let mut requirements = fixture::requirements("m", TIMEOUT, now);
            requirements.suspect_place = Some(place);
            server(scheduler.submit(requirements, now))
        })
        .collect();
    assert_eq!(taken.len(), 3);
}

#[test]
fn call_goes_only_to_a_server_that_holds_its_model() {
    let now = time::Instant::now();
    let records = [
        fixture::record("s1", &["other"]),
        fixture::record("s2", &["m"]),
    ];
    let mut scheduler = fixture::scheduler(&records, now);
    let requirements = fixture::requirements("m", TIMEOUT, now);
    assert_eq!(server(scheduler.submit(requirements, now)), "s2");
}

#[test]
fn draining_server_and_retiring_model_take_no_new_call() {
    let now = time::Instant::now();
    let mut draining = fixture::record("s1", &["m"]);
    draining.stage = domain::ServerStage::Draining;
    let mut retiring = fixture::record("s2", &["m"]);
    retiring.models[0].retiring = true;
    let records = [draining, retiring, fixture::record("s3", &["m"])];
    let mut scheduler = fixture::scheduler(&records, now);
    let requirements = fixture::requirements("m", TIMEOUT, now);
    assert_eq!(server(scheduler.submit(requirements, now)), "s3");
}

#[test]
fn server_that_holds_the_adapter_is_preferred() {
    let now = time::Instant::now();
    let adapter = domain::HeldAdapter {
        model: name::ModelName::from("m"),
        adapter: name::AdapterName::from("x"),
    };
    for holder in ["s1", "s2"] {
        let records = [fixture::record("s1", &["m"]), fixture::record("s2", &["m"])];
        let mut scheduler = fixture::scheduler(&records, now);
        scheduler.record_adapter(&name::ServerName::from(holder), adapter.clone());
        let mut requirements = fixture::requirements("m", TIMEOUT, now);
        requirements.target = Some(fleet::ModelTarget {
            model: adapter.model.clone(),
            adapter: Some(adapter.adapter.clone()),
        });
        let placement = fixture::placed(scheduler.submit(requirements, now));
        assert_eq!(&*placement.server, holder);
        assert!(!placement.needs_adapter);
    }
}

#[test]
fn unreachable_server_is_skipped_until_its_pause_ends() {
    let now = time::Instant::now();
    let records = [fixture::record("s1", &[]), fixture::record("s2", &[])];
    let mut scheduler = fixture::scheduler(&records, now);
    let down = name::ServerName::from("s1");
    scheduler.observe(&down, None, fleet::AttemptReport::Unreachable, now);
    for _ in 0..2 {
        assert_eq!(
            server(scheduler.submit(fixture::plain_requirements(now), now)),
            "s2"
        );
    }
    let later = now + time::Duration::from_secs(5);
    let again = server(scheduler.submit(fixture::plain_requirements(later), later));
    assert_eq!(again, "s1");
}

/// A server that fails most of its calls while its notices report it as healthy must not attract calls by
/// being idle.
#[test]
fn failing_server_is_avoided_in_favour_of_a_busier_one() {
    let now = time::Instant::now();
    let records = [fixture::record("s1", &[]), fixture::record("s2", &[])];
    let mut scheduler = fixture::scheduler(&records, now);
    let failing = name::ServerName::from("s1");
    for _ in 0..10 {
        scheduler.observe(&failing, None, fleet::AttemptReport::Failed, now);
    }
    for _ in 0..2 {
        assert_eq!(
            server(scheduler.submit(fixture::plain_requirements(now), now)),
            "s2"
        );
    }
}

#[test]
fn silent_server_gets_calls_only_while_its_last_success_is_recent() {
    let now = time::Instant::now();
    let mut record = fixture::record("s1", &[]);
    let mut scheduler = fixture::scheduler(std::slice::from_ref(&record), now);
    let server = record.name.clone();
    let took = fleet::AttemptReport::Answered(time::Duration::from_millis(5));
    scheduler.observe(&server, None, took, now);
    record.silent = true;
    scheduler.update_server(record, now);
    let soon = now + time::Duration::from_secs(1);
    fixture::placed(scheduler.submit(fixture::plain_requirements(soon), soon));
    let later = now + time::Duration::from_secs(10);
    fixture::waiting(&scheduler.submit(fixture::plain_requirements(later), later));
}

#[test]
fn server_that_was_tried_before_is_chosen_last() {
    let now = time::Instant::now();
    let records = [fixture::record("s1", &[]), fixture::record("s2", &[])];
    let mut scheduler = fixture::scheduler(&records, now);
    let mut requirements = fixture::plain_requirements(now);
    requirements.tried = vec![name::ServerName::from("s1")];
    assert_eq!(server(scheduler.resubmit(requirements, now)), "s2");
}

#[test]
fn repeated_adapter_list_does_not_restore_a_missing_adapter() {
    let now = time::Instant::now();
    let mut record = fixture::record("s1", &["m"]);
    let mut requirements = fixture::requirements("m", time::Duration::from_secs(2), now);
    let target = requirements
        .target
        .as_mut()
        .expect("the call names a model");
    target.adapter = Some(name::AdapterName::from("x"));
    let target = target.clone();
    record.adapters = target.held_adapter().into_iter().collect();
    let mut scheduler = fixture::scheduler(&[record.clone()], now);
    scheduler.observe(
        &record.name,
        Some(&target),
        fleet::AttemptReport::Misplaced,
        now,
    );
    record.slots += 1;
    scheduler.update_server(record, now);
    let fleet::CallSubmission::Placed(placement) = scheduler.submit(requirements, now) else {
        panic!("the call was not placed");
    };
    assert!(placement.needs_adapter);
}
