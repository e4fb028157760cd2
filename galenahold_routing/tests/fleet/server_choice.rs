//! Selection by predicted times, memory and the view of other instances' calls.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;
use galenahold_routing::{fleet, load};

use crate::fixture;

const TIMEOUT: time::Duration = time::Duration::from_secs(10);

fn records(names: &[&str]) -> Vec<domain::ServerRecord> {
    let records = names.iter().map(|name| {
        let mut record = fixture::record(name, &["m"]);
        record.slots = 16;
        record
    });
    records.collect()
}

fn call(prompt_tokens: u64, output_events: u64, now: time::Instant) -> fleet::CallRequirements {
    let mut requirements = fixture::requirements("m", TIMEOUT, now);
    requirements.due_at = now + time::Duration::from_secs(1);
    requirements.work = load::CallWork {
        prompt_tokens,
        output_events,
        output_tokens: output_events * 5,
        objective: time::Duration::from_secs(1),
        event_gap: Some(time::Duration::from_millis(300)),
    };
    requirements
}

fn paced(server: &str, pace: f64, measured_at: time::Instant) -> load::ServerLoad {
    load::ServerLoad {
        pace: Some(pace),
        ..fixture::load(server, 0, measured_at)
    }
}

/// A server whose requests exceed its memory preempts some of them and crashes in the end.
#[test]
fn expected_tokens_stay_within_the_cache_and_smaller_calls_use_the_rest() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&records(&["s1"]), now);
    let mut others = fixture::load("s1", 2, now);
    others.cache_tokens = 30_000;
    scheduler.apply_loads(&[others]);
    let runs: Vec<_> = (0..8)
        .map(|_| fixture::placed(scheduler.submit(call(4_000, 200, now), now)).run)
        .collect();
    let large = fixture::waiting(&scheduler.submit(call(4_000, 200, now), now));
    fixture::placed(scheduler.submit(call(500, 20, now), now));
    assert_eq!(scheduler.poll(now), []);
    scheduler.finish(runs[0], now);
    let settled = scheduler.poll(now);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, large);
    assert!(settled[0].result.is_ok());
}

/// Long answers were cut off at their callers' deadline on slow engines that were idle.
#[test]
fn long_answer_goes_to_a_busier_server_that_completes_it() {
    let now = time::Instant::now();
    let mut scheduler = fixture::taught(&records(&["s1", "s2"]), now);
    let mut fast = paced("s2", 1.0, now);
    fast.running = 15;
    scheduler.apply_loads(&[paced("s1", 1.6, now), fast]);
    let placement = fixture::placed(scheduler.submit(call(1_000, 120, now), now));
    assert_eq!(&*placement.server, "s2");
    assert_eq!(placement.basis.fit, fleet::ServerFit::OnTime);
}

#[test]
fn fastest_server_takes_an_answer_that_none_can_complete() {
    let now = time::Instant::now();
    let mut scheduler = fixture::taught(&records(&["s1", "s2"]), now);
    scheduler.apply_loads(&[paced("s1", 2.0, now), paced("s2", 0.8, now)]);
    let placement = fixture::placed(scheduler.submit(call(1_000, 400, now), now));
    assert_eq!(&*placement.server, "s2");
    assert_eq!(placement.basis.fit, fleet::ServerFit::Incomplete);
}

/// All instances sent their calls to the server that a late view showed as the least busy one.
#[test]
fn instances_with_the_same_late_view_choose_different_servers() {
    let now = time::Instant::now();
    let records = records(&["s1", "s2", "s3", "s4"]);
    let loads = [("s1", 7), ("s2", 8), ("s3", 8), ("s4", 9)]
        .map(|(server, running)| fixture::load(server, running, now));
    let later = now + time::Duration::from_millis(800);
    let mut counts = collections::BTreeMap::new();
    let mut draws = crate::fleet_model::Draws::new(1);
    for _ in 0..200 {
        let mut scheduler = fixture::taught(&records, now);
        scheduler.apply_loads(&loads);
        let mut requirements = call(600, 40, later);
        requirements.draw = draws.next();
        let placement = fixture::placed(scheduler.submit(requirements, later));
        *counts.entry(placement.server.to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    assert!(counts.values().all(|count| *count < 110), "{counts:?}");
}

/// An instance that lost its leader must neither rely on old loads nor leave servers idle for them.
#[test]
fn lost_view_fades_while_the_speeds_of_servers_stay_known() {
    let now = time::Instant::now();
    let mut scheduler = fixture::taught(&records(&["s1", "s2"]), now);
    let mut full = paced("s1", 1.0, now);
    full.running = 20;
    let mut slow = paced("s2", 2.0, now);
    slow.running = 20;
    scheduler.apply_loads(&[full, slow]);
    let at = |seconds: f64| now + time::Duration::from_secs_f64(seconds);
    let ticket = fixture::waiting(&scheduler.submit(call(100, 40, at(0.9)), at(0.9)));
    assert_eq!(scheduler.poll(at(1.0)), []);
    let settled = scheduler.poll(at(2.1));
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, ticket);
    let placed = settled[0].result.as_ref().expect("the call is placed");
    scheduler.finish(placed.run, at(3.0));
    let long = fixture::placed(scheduler.submit(call(100, 140, at(20.0)), at(20.0)));
    assert_eq!(&*long.server, "s1");
    assert_eq!(long.basis.running, 0);
}

/// A restarted server is empty and may be another machine.
#[test]
fn loads_and_speed_of_an_earlier_start_do_not_count_after_a_restart() {
    let now = time::Instant::now();
    let mut records = records(&["s1"]);
    let mut scheduler = fixture::taught(&records, now);
    let mut before = paced("s1", 3.0, now);
    before.running = 40;
    scheduler.apply_loads(std::slice::from_ref(&before));
    fixture::waiting(&scheduler.submit(call(100, 20, now), now));
    records[0].started_ms = 2;
    scheduler.update_server(records[0].clone(), now);
    scheduler.apply_loads(&[before]);
    assert_eq!(scheduler.poll(now).len(), 1);
    let placement = fixture::placed(scheduler.submit(call(100, 140, now), now));
    assert_eq!(placement.basis.running, 1);
    assert_eq!(placement.basis.fit, fleet::ServerFit::OnTime);
}

/// Without a view an instance must not fill a server beyond its slots by itself, whether it is an engine or
/// not.
#[test]
fn instance_without_a_view_stays_within_the_slots_of_a_server() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&records(&["s1"]), now);
    for _ in 0..8 {
        fixture::placed(scheduler.submit(call(100, 20, now), now));
        fixture::placed(scheduler.submit(fixture::plain_requirements(now), now));
    }
    fixture::waiting(&scheduler.submit(call(100, 20, now), now));
    fixture::waiting(&scheduler.submit(fixture::plain_requirements(now), now));
}

/// A prompt of 8,000 tokens makes the streams of a server pause for 320 ms, which is too long; the short
/// prompts behind it must not wait for it.
#[test]
fn long_prompt_is_held_while_short_ones_overtake_it() {
    let now = time::Instant::now();
    let mut scheduler = fixture::taught(&records(&["s1"]), now);
    let running = fixture::placed(scheduler.submit(call(100, 40, now), now)).run;
    scheduler.begin_answer(running, time::Duration::from_millis(54));
    let long = fixture::waiting(&scheduler.submit(call(8_000, 40, now), now));
    fixture::placed(scheduler.submit(call(600, 40, now), now));
    assert_eq!(scheduler.poll(now), []);
    scheduler.finish(running, now);
    assert_eq!(scheduler.poll(now), []);
    let half = now + time::Duration::from_millis(400);
    let settled = scheduler.poll(half);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, long);
}

/// Short prompts keep coming and are held themselves; the long one is sent at half of its slack all the same.
#[test]
fn held_short_prompts_do_not_starve_a_long_one() {
    let now = time::Instant::now();
    let mut scheduler = fixture::taught(&records(&["s1"]), now);
    fixture::placed(scheduler.submit(call(6_000, 40, now), now));
    let long = fixture::waiting(&scheduler.submit(call(3_000, 40, now), now));
    let later = now + time::Duration::from_millis(600);
    let mut urgent = call(1_000, 40, later);
    urgent.rank = 0;
    fixture::waiting(&scheduler.submit(urgent, later));
    let tickets: Vec<_> = scheduler
        .poll(later)
        .iter()
        .map(|call| call.ticket)
        .collect();
    assert_eq!(tickets, [long]);
}
