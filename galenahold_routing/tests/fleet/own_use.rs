//! What calls in flight use at each start of a server, as instances report it to the leader.

use std::time;

use galenahold_routing::{fleet, load};

use crate::fixture;

const TIMEOUT: time::Duration = time::Duration::from_secs(2);

fn submit(scheduler: &mut fleet::CallScheduler, now: time::Instant) -> fleet::CallPlacement {
    let mut requirements = fixture::requirements("m", TIMEOUT, now);
    requirements.work = load::CallWork {
        prompt_tokens: 1_000,
        output_tokens: 200,
        ..load::CallWork::default()
    };
    fixture::placed(scheduler.submit(requirements, now))
}

fn totals(scheduler: &fleet::CallScheduler) -> Vec<(u64, u32, u32, u32)> {
    let uses = scheduler.uses();
    let totals = uses.iter().map(|server_use| {
        (
            server_use.started_ms,
            server_use.running,
            server_use.unread_tokens,
            server_use.cache_tokens,
        )
    });
    totals.collect()
}

/// An end that is reported twice must not free the slot or the tokens of another call.
#[test]
fn call_that_ends_gives_back_all_that_it_used_exactly_once() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["m"])], now);
    let first = submit(&mut scheduler, now);
    let second = submit(&mut scheduler, now);
    assert_eq!(totals(&scheduler), [(1, 2, 2_000, 2_400)]);
    scheduler.begin_answer(first.run, time::Duration::from_millis(100));
    scheduler.begin_answer(first.run, time::Duration::from_millis(100));
    assert_eq!(totals(&scheduler), [(1, 2, 1_000, 2_400)]);
    scheduler.finish(first.run, now);
    scheduler.finish(first.run, now);
    scheduler.begin_answer(first.run, time::Duration::from_millis(100));
    assert_eq!(totals(&scheduler), [(1, 1, 1_000, 1_200)]);
    scheduler.finish(second.run, now);
    assert_eq!(totals(&scheduler), []);
}

/// Calls at an earlier start of a server are lost with it; their late ends must not count against the calls
/// at the new start.
#[test]
fn restarted_server_begins_without_the_calls_of_its_earlier_start() {
    let now = time::Instant::now();
    let mut record = fixture::record("s1", &["m"]);
    let mut scheduler = fixture::scheduler(std::slice::from_ref(&record), now);
    let before = submit(&mut scheduler, now);
    record.started_ms = 2;
    scheduler.update_server(record, now);
    assert_eq!(totals(&scheduler), []);
    submit(&mut scheduler, now);
    scheduler.begin_answer(before.run, time::Duration::from_millis(100));
    scheduler.finish(before.run, now);
    assert_eq!(totals(&scheduler), [(2, 1, 1_000, 1_200)]);
}

/// A server drops out of the roster for a moment while its calls run on, as after a change of leader.
#[test]
fn server_that_returns_to_the_roster_still_counts_its_running_calls() {
    let now = time::Instant::now();
    let record = fixture::record("s1", &["m"]);
    let mut scheduler = fixture::scheduler(std::slice::from_ref(&record), now);
    let running = submit(&mut scheduler, now);
    scheduler.remove_server(&record.name);
    scheduler.update_server(record, now);
    assert_eq!(totals(&scheduler), [(1, 1, 1_000, 1_200)]);
    scheduler.finish(running.run, now);
    assert_eq!(totals(&scheduler), []);
}
