//! What backend servers state in answers: that they leave, or want a pause.

use std::thread;
use std::time;

use galenahold_testkit::control::ServerControl;
use galenahold_testkit::engine;
use galenahold_testkit::harness;

use crate::TURN;

/// Requests in a row at one instance.
const REQUESTS: usize = 20;

/// The pause that a server asks for, in seconds.
const PAUSE_S: u64 = 60;

fn start() -> harness::ServingFleet {
    harness::ServingBuilder::default()
        .instances(harness::FleetBuilder::default().control(3).entries(1))
        .engines(1, engine::EngineTimings::default())
        .services(2, 1_000)
        .start()
        .expect("the fleet starts")
}

/// Asks for records at one instance and returns the statuses.
fn ask(fleet: &harness::ServingFleet, instance: usize) -> Vec<u16> {
    let caller = fleet.caller(instance);
    let answers = (0..REQUESTS).map(|_| caller.get("/foundry/records/1"));
    answers
        .map(|answer| answer.expect("an answer comes").status)
        .collect()
}

fn requests_at(fleet: &harness::ServingFleet, service: usize) -> usize {
    fleet.services()[service].ledger().requests.len()
}

#[test]
fn server_that_says_it_leaves_gets_nothing_more_although_its_announcements_do_not() {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let fleet = start();
    fleet.services()[0].control(&ServerControl::SayLeaving);
    let before = requests_at(&fleet, 0);
    harness::wait_until("the server had a request", || {
        ask(&fleet, 0);
        requests_at(&fleet, 0) > before
    });
    let heard = requests_at(&fleet, 0);
    assert!(
        heard - before <= 1,
        "{} requests after the first",
        heard - before
    );
    // The other instances hear of it from the control group.
    thread::sleep(time::Duration::from_secs(2));
    for instance in 0..4 {
        assert!(ask(&fleet, instance).iter().all(|status| *status == 200));
    }
    assert_eq!(requests_at(&fleet, 0), heard);
}

#[test]
fn server_that_asks_for_a_pause_gets_nothing_more_and_callers_are_told_when_all_do() {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let fleet = start();
    let pause = ServerControl::AskForPause { seconds: PAUSE_S };
    fleet.services()[0].control(&pause);
    let before = requests_at(&fleet, 0);
    for _ in 0..3 {
        assert!(ask(&fleet, 0).iter().all(|status| *status == 200));
    }
    assert!(requests_at(&fleet, 0) <= before + 1);
    fleet.services()[1].control(&pause);
    harness::wait_until("a refusal", || ask(&fleet, 0).contains(&503));
    let refused = fleet.caller(0).get("/foundry/records/1");
    let refused = refused.expect("an answer comes");
    assert_eq!(refused.status, 503, "{}", refused.body);
    let retry_after_ms = refused.json()["error"]["retry_after_ms"].as_u64();
    let retry_after_ms = retry_after_ms.expect("the refusal has a time");
    assert!(
        (1_000..=PAUSE_S * 1_000).contains(&retry_after_ms),
        "{}",
        refused.body
    );
}
