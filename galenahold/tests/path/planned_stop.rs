//! A planned stop cuts no request.

use std::thread;
use std::time;

use galenahold_testkit::engine;

use crate::fleet_setup;

/// Callers that ask without a pause while the instance stops.
const CALLERS: usize = 8;

#[test]
fn sigterm_under_load_cuts_no_request_and_exits_with_zero() {
    let timings = engine::EngineTimings {
        step_us: 20_000,
        ..engine::EngineTimings::default()
    };
    let mut path = fleet_setup::PathFleet::start(timings);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = path.caller(3);
            let address = path.fleet.instances()[3].addresses().platform;
            thread::spawn(move || ask_until_unready(&caller, address, number))
        })
        .collect();
    thread::sleep(time::Duration::from_millis(500));
    path.fleet.instances()[3].terminate().expect("it runs");
    let answered: usize = callers
        .into_iter()
        .map(|caller| caller.join().expect("no request was cut"))
        .sum();
    assert!(answered >= CALLERS);
    let status = path.fleet.instances_mut()[3]
        .wait_exit(fleet_setup::LIMIT)
        .expect("the instance ends");
    assert_eq!(status.code(), Some(0));
}

/// Asks until the instance says that it is not ready, as a balancer would; returns the whole answers.
fn ask_until_unready(
    caller: &galenahold_testkit::harness::FleetCaller,
    platform: std::net::SocketAddr,
    number: usize,
) -> usize {
    let ready = galenahold_testkit::harness::FleetCaller::new(platform);
    let mut answered = 0;
    while ready.get("/ready").is_ok_and(|answer| answer.status == 200) {
        let answer = caller
            .chat("alama-llm", &format!("caller {number}"), 20, true)
            .expect("a whole answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
        answered += 1;
    }
    answered
}
