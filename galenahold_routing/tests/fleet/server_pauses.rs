//! Servers that turned a call away and stated for how long they want no other.

use std::time;

use galenahold_routing::fleet;

use crate::fixture;

const PAUSE: time::Duration = time::Duration::from_secs(5);

fn refusal(submission: fleet::CallSubmission) -> fleet::SchedulerRefusal {
    match submission {
        fleet::CallSubmission::Refused(refusal) => refusal,
        other => panic!("{other:?} is no refusal"),
    }
}

fn scheduler_of(servers: &[&str], now: time::Instant) -> fleet::CallScheduler {
    let records: Vec<_> = servers
        .iter()
        .map(|server| fixture::record(server, &["m"]))
        .collect();
    fixture::scheduler(&records, now)
}

fn close(scheduler: &mut fleet::CallScheduler, server: &str, now: time::Instant) {
    let name = galenahold_domain::name::ServerName::from(server);
    scheduler.close(&name, 1, PAUSE, now);
}

#[test]
fn call_goes_to_a_server_that_asked_for_no_pause() {
    let now = time::Instant::now();
    let mut scheduler = scheduler_of(&["s1", "s2"], now);
    close(&mut scheduler, "s1", now);
    for _ in 0..2 {
        let placed = fixture::placed(scheduler.submit(fixture::plain_requirements(now), now));
        assert_eq!(placed.server.to_string(), "s2");
    }
}

#[test]
fn call_is_refused_at_once_with_the_time_until_the_first_server_opens() {
    let now = time::Instant::now();
    let mut scheduler = scheduler_of(&["s1", "s2"], now);
    close(&mut scheduler, "s1", now);
    close(&mut scheduler, "s2", now + PAUSE / 5);
    let later = now + PAUSE / 5;
    for requirements in [
        fixture::plain_requirements(later),
        fixture::requirements("m", PAUSE * 9, later),
    ] {
        let refused = refusal(scheduler.submit(requirements, later));
        assert_eq!(refused.cause, fleet::RefusalCause::Closed);
        assert_eq!(refused.retry_after, PAUSE / 5 * 4);
    }
    let opened = now + PAUSE;
    let placed = fixture::placed(scheduler.submit(fixture::plain_requirements(opened), opened));
    assert_eq!(placed.server.to_string(), "s1");
}

#[test]
fn pause_survives_a_new_roster_and_ends_with_a_new_start() {
    let now = time::Instant::now();
    let mut scheduler = scheduler_of(&["s1"], now);
    close(&mut scheduler, "s1", now);
    let mut record = fixture::record("s1", &["m"]);
    scheduler.remove_server(&record.name);
    scheduler.update_server(record.clone(), now);
    refusal(scheduler.submit(fixture::plain_requirements(now), now));
    record.started_ms = 2;
    scheduler.update_server(record, now);
    fixture::placed(scheduler.submit(fixture::plain_requirements(now), now));
}

#[test]
fn call_that_was_placed_before_the_pause_is_not_sent() {
    let now = time::Instant::now();
    let mut scheduler = scheduler_of(&["s1"], now);
    let placed = fixture::placed(scheduler.submit(fixture::plain_requirements(now), now));
    assert!(scheduler.accepts(&placed.server, placed.started_ms, now));
    close(&mut scheduler, "s1", now);
    assert!(!scheduler.accepts(&placed.server, placed.started_ms, now));
    assert!(scheduler.accepts(&placed.server, placed.started_ms, now + PAUSE));
}

/// Load pattern: calls queue for a full server, which then asks for a pause.
#[test]
fn waiting_calls_are_refused_when_the_last_server_asks_for_a_pause() {
    let now = time::Instant::now();
    let mut scheduler = scheduler_of(&["s1"], now);
    while let fleet::CallSubmission::Placed(_) =
        scheduler.submit(fixture::plain_requirements(now), now)
    {}
    assert!(scheduler.has_waiting());
    close(&mut scheduler, "s1", now);
    let settled = scheduler.poll(now);
    assert_eq!(settled.len(), 1);
    assert!(settled[0].result.is_err());
}

#[test]
fn later_statement_extends_a_pause_and_does_not_shorten_it() {
    let now = time::Instant::now();
    let name = galenahold_domain::name::ServerName::from("s1");
    let mut closures = fleet::ServerClosures::default();
    closures.close(&name, 1, PAUSE, now);
    closures.close(&name, 1, PAUSE / 2, now);
    assert_eq!(closures.opens_in(&name, 1, now), Some(PAUSE));
    closures.close(&name, 1, time::Duration::MAX, now);
    let longest = fleet::ServerClosures::MAX_TIME;
    assert_eq!(closures.opens_in(&name, 1, now), Some(longest));
    assert_eq!(closures.opens_in(&name, 1, now + longest), None);
}
