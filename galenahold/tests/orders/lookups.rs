//! Lookups, which may be repeated.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use galenahold_testkit::control::ServerControl;
use galenahold_testkit::harness;
use galenahold_testkit::proxy;

use crate::order_fleet;

/// Callers that look up without a pause.
const CALLERS: usize = 64;

#[test]
fn no_lookup_is_lost_when_one_of_two_servers_dies() {
    let call_time = time::Duration::from_millis(20);
    let fleet = order_fleet::OrderFleet::with_call_time(2, harness::PeerRoute::Direct, call_time);
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (caller, stop) = (fleet.serving.caller(3), sync::Arc::clone(&stop));
            thread::spawn(move || {
                let mut lost = Vec::new();
                let mut read = 0_u64;
                while !stop.load(atomic::Ordering::Relaxed) {
                    let answer = caller
                        .get(&format!("/foundry/records/{number}"))
                        .expect("an answer comes");
                    if answer.status == 200 {
                        read += 1;
                    } else {
                        lost.push(answer.body);
                    }
                }
                (read, lost)
            })
        })
        .collect();
    thread::sleep(time::Duration::from_millis(500));
    fleet.serving.services()[0].crash();
    thread::sleep(time::Duration::from_millis(1_500));
    stop.store(true, atomic::Ordering::Relaxed);
    for caller in callers {
        let (read, lost) = caller.join().expect("the caller ends");
        assert!(read > 0);
        assert!(lost.is_empty(), "{lost:?}");
    }
}

#[test]
fn a_lookup_goes_to_another_server_after_each_kind_of_failure() {
    let fleet = order_fleet::OrderFleet::start(2, harness::PeerRoute::Direct);
    let faults = [
        ServerControl::ResetBeforeBody { count: 1 },
        ServerControl::RunThenReset { count: 1 },
        ServerControl::WrongRequestId { count: 1 },
        ServerControl::RefuseNotRun { count: 1 },
    ];
    for fault in faults {
        assert!(fleet.serving.services()[0].control(&fault));
        for number in 0..8 {
            let answer = fleet
                .serving
                .caller(3)
                .get(&format!("/foundry/records/{number}"))
                .expect("an answer comes");
            assert_eq!(answer.status, 200, "{fault:?}: {}", answer.body);
        }
    }
}

#[test]
fn a_lookup_whose_answer_is_cut_comes_whole_from_another_server() {
    let fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Direct);
    let linked = order_fleet::LinkedServer::start(&fleet.serving);
    let whole = fleet.serving.services()[0].ledger().requests.len();
    for passed_bytes in [20, 100, 150, 180, 200, 220] {
        let fault = proxy::LinkFault::pass().reset_after(passed_bytes);
        linked.link.set(proxy::LinkDirection::ToClient, fault);
        for _ in 0..4 {
            let answer = fleet
                .serving
                .caller(3)
                .get("/foundry/records/cut")
                .expect("an answer comes");
            assert_eq!(answer.status, 200, "{}", answer.body);
            assert_eq!(answer.json()["order"].as_str(), Some("cut"));
        }
    }
    assert!(fleet.serving.services()[0].ledger().requests.len() > whole);
}
