//! Which calls wait, which are refused at once, and in which order waiting calls are placed.

use std::time;

use galenahold_domain::{fleet as domain, name};
use galenahold_routing::fleet;

use crate::fixture;

const SHORT: time::Duration = time::Duration::from_secs(3);
const LONG: time::Duration = time::Duration::from_secs(10);

fn refusal(submission: fleet::CallSubmission) -> fleet::SchedulerRefusal {
    match submission {
        fleet::CallSubmission::Refused(refusal) => refusal,
        other => panic!("expected the call to be refused, got {other:?}"),
    }
}

/// Many calls for rare models arrive at once, and the weights of these models are only in the store.
#[test]
fn call_that_cannot_wait_for_a_load_is_refused_at_once_with_the_load_time() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    let refused = refusal(scheduler.submit(fixture::requirements("m", SHORT, now), now));
    assert_eq!(refused.cause, fleet::RefusalCause::NotLoaded);
    assert!(
        refused.retry_after >= time::Duration::from_secs(6),
        "{refused:?}"
    );
}

#[test]
fn call_that_can_wait_for_a_load_is_placed_when_the_load_completes() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    let ticket = fixture::waiting(&scheduler.submit(fixture::requirements("m", LONG, now), now));
    assert_eq!(scheduler.poll(now), []);
    scheduler.update_server(fixture::record("s1", &["other", "m"]), now);
    let placed = scheduler.poll(now);
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].ticket, ticket);
    assert!(placed[0].result.is_ok());
}

#[test]
fn weights_on_disk_shorten_the_expected_wait() {
    let now = time::Instant::now();
    let mut record = fixture::record("s1", &["other"]);
    record.copies = domain::WeightCopies::new(Vec::new(), vec![name::ModelName::from("m")]);
    let mut scheduler = fixture::scheduler(&[record], now);
    fixture::waiting(&scheduler.submit(fixture::requirements("m", SHORT, now), now));
}

#[test]
fn load_in_progress_shortens_the_expected_wait() {
    let now = time::Instant::now();
    let mut record = fixture::record("s1", &["other"]);
    record.loading = Some(domain::ModelLoading {
        model: name::ModelName::from("m"),
        expected_ms: 6_000,
    });
    let mut scheduler = fixture::scheduler(&[record], now);
    refusal(scheduler.submit(fixture::requirements("m", SHORT, now), now));
    let later = now + time::Duration::from_secs(4);
    fixture::waiting(&scheduler.submit(fixture::requirements("m", SHORT, later), later));
}

#[test]
fn calls_wait_at_full_servers_and_the_most_urgent_is_placed_first() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["m"])], now);
    let first = fixture::placed(scheduler.submit(fixture::requirements("m", SHORT, now), now));
    let second = fixture::placed(scheduler.submit(fixture::requirements("m", SHORT, now), now));
    let early = fixture::waiting(&scheduler.submit(fixture::requirements("m", SHORT, now), now));
    let mut requirements = fixture::requirements("m", SHORT, now);
    requirements.rank = 0;
    let urgent = fixture::waiting(&scheduler.submit(requirements, now));
    scheduler.finish(first.run, now);
    let placed: Vec<_> = scheduler.poll(now).iter().map(|call| call.ticket).collect();
    assert_eq!(placed, [urgent]);
    scheduler.finish(second.run, now);
    let placed: Vec<_> = scheduler.poll(now).iter().map(|call| call.ticket).collect();
    assert_eq!(placed, [early]);
}

#[test]
fn waiting_call_is_refused_at_its_deadline() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    let ticket = fixture::waiting(&scheduler.submit(fixture::requirements("m", LONG, now), now));
    let settled = scheduler.poll(now + LONG);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, ticket);
    assert!(settled[0].result.is_err());
}

#[test]
fn withdrawn_call_leaves_the_queue() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    let ticket = fixture::waiting(&scheduler.submit(fixture::requirements("m", LONG, now), now));
    scheduler.withdraw(ticket);
    assert!(!scheduler.has_waiting());
    let usages = scheduler.take_usages();
    assert_eq!(usages.len(), 1);
    assert_eq!(usages[0].1.arrivals, 1);
    assert_eq!(usages[0].1.waiting, 0);
}

#[test]
fn call_to_a_service_without_servers_is_refused_at_once() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[], now);
    let mut requirements = fixture::plain_requirements(now);
    requirements.wait_deadline = now + time::Duration::from_millis(500);
    assert_eq!(
        refusal(scheduler.submit(requirements, now)).cause,
        fleet::RefusalCause::NoServer
    );
}

/// Regression test for trouble-3 of asennau-cymru: an instance was told to stop while a call waited for a load.
#[test]
fn stopping_instance_refuses_calls_that_cannot_be_placed_before_it_ends() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    let ticket = fixture::waiting(&scheduler.submit(fixture::requirements("m", LONG, now), now));
    scheduler.close_at(now + time::Duration::from_secs(2));
    let settled = scheduler.poll(now);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, ticket);
    assert!(settled[0].result.is_err());
}

/// Guards against refusing a call because the only server in an outdated roster no longer holds the
/// model. Occurs when rare models replace each other by the second.
#[test]
fn call_refused_for_a_missing_model_waits_for_its_load() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["m"])], now);
    let requirements = fixture::requirements("m", LONG, now);
    let placement = fixture::placed(scheduler.submit(requirements.clone(), now));
    let target = requirements.target.clone();
    let report = fleet::AttemptReport::Misplaced;
    scheduler.observe(&placement.server, target.as_ref(), report, now);
    scheduler.finish(placement.run, now);
    fixture::waiting(&scheduler.resubmit(requirements, now));
    assert_eq!(scheduler.poll(now), []);

    scheduler.update_server(fixture::record("s1", &["other"]), now);
    scheduler.update_server(fixture::record("s1", &["other", "m"]), now);
    assert_eq!(scheduler.poll(now).len(), 1);
}

#[test]
fn model_counts_as_missing_only_until_the_roster_had_time_to_change() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["m"])], now);
    let target = fixture::requirements("m", LONG, now).target;
    let report = fleet::AttemptReport::Misplaced;
    scheduler.observe(&name::ServerName::from("s1"), target.as_ref(), report, now);
    let later = now + time::Duration::from_secs(1);
    fixture::placed(scheduler.submit(fixture::requirements("m", LONG, later), later));
}

/// A server drains, leaves or restarts while a call that was placed there waits for tokens, an adapter
/// or a connection.
#[test]
fn call_placed_before_its_server_departs_may_not_be_sent_there() {
    let now = time::Instant::now();
    let record = fixture::record("s1", &["m"]);
    let mut scheduler = fixture::scheduler(std::slice::from_ref(&record), now);
    let placed = fixture::placed(scheduler.submit(fixture::requirements("m", SHORT, now), now));
    assert!(scheduler.accepts(&placed.server, placed.started_ms, now));
    let mut draining = record.clone();
    draining.stage = domain::ServerStage::Draining;
    scheduler.update_server(draining, now);
    assert!(!scheduler.accepts(&placed.server, placed.started_ms, now));
    let mut restarted = record;
    restarted.started_ms += 1;
    scheduler.update_server(restarted, now);
    assert!(!scheduler.accepts(&placed.server, placed.started_ms, now));
    scheduler.remove_server(&placed.server);
    assert!(!scheduler.accepts(&placed.server, placed.started_ms, now));
}
