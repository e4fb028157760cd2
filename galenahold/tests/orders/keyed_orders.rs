//! Orders under an idempotency key.

use std::io::Write;
use std::net;
use std::thread;
use std::time;

use galenahold_testkit::control::ServerControl;
use galenahold_testkit::harness;
use serde_json::json;

use crate::order_fleet;
use crate::order_fleet::{send, send_keyed};

#[test]
fn a_keyed_order_runs_once_through_restarts_and_other_instances() {
    let mut fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Direct);
    let first = send_keyed(&fleet.serving.caller(3), "kept");
    assert_eq!((first.status, first.replayed), (200, false));
    let differing = fleet.serving.caller(0).header("idempotency-key", "kept");
    let differing = send(&differing, "another");
    assert_eq!(
        (differing.status, differing.refusal().as_str()),
        (422, "order_differs")
    );
    assert_eq!(differing.verdict.as_deref(), Some("not-run"));
    assert_eq!(fleet.serving.runs("another"), 0);
    for instance in [0, 3] {
        let process = &mut fleet.serving.instances_mut().instances_mut()[instance];
        process.kill();
        process.start().expect("it starts again");
        process
            .wait_ready(harness::WAIT_LIMIT)
            .expect("it is ready again");
        let repeat = send_keyed(&fleet.serving.caller(instance), "kept");
        assert_eq!(
            (repeat.status, repeat.replayed),
            (200, true),
            "{}",
            repeat.body
        );
        assert_eq!(repeat.body, first.body);
    }
    assert_eq!(fleet.serving.runs("kept"), 1);
}

#[test]
fn a_keyed_order_that_was_refused_may_start_again_and_one_without_answer_may_not() {
    let fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Direct);
    let server = &fleet.serving.services()[0];
    server.control(&ServerControl::RefuseNotRun { count: 50 });
    let refused = send_keyed(&fleet.serving.caller(3), "again");
    assert_eq!(
        refused.verdict.as_deref(),
        Some("not-run"),
        "{}",
        refused.body
    );
    server.control(&ServerControl::RefuseNotRun { count: 0 });
    let repeat = send_keyed(&fleet.serving.caller(0), "again");
    assert_eq!(
        (repeat.status, repeat.replayed),
        (200, false),
        "{}",
        repeat.body
    );
    assert_eq!(fleet.serving.runs("again"), 1);

    server.control(&ServerControl::RunThenReset { count: 1 });
    let lost = send_keyed(&fleet.serving.caller(3), "lost");
    assert_eq!(
        lost.verdict.as_deref(),
        Some("may-have-run"),
        "{}",
        lost.body
    );
    for instance in 0..4 {
        let repeat = send_keyed(&fleet.serving.caller(instance), "lost");
        assert_eq!(
            (repeat.status, repeat.refusal().as_str()),
            (409, "order_unknown")
        );
    }
    assert_eq!(fleet.serving.runs("lost"), 1);
}

#[test]
fn a_keyed_order_never_runs_twice_when_its_instance_is_killed_in_the_middle() {
    let call_time = time::Duration::from_millis(400);
    let mut fleet =
        order_fleet::OrderFleet::with_call_time(1, harness::PeerRoute::Direct, call_time);
    // Orders that ran and whose answers are lost are the ones that must not start again.
    fleet.serving.services()[0].control(&ServerControl::RunWithoutAnswer { count: 100 });
    let orders: Vec<String> = (0..12).map(|number| format!("killed-{number}")).collect();
    let senders: Vec<_> = orders
        .iter()
        .enumerate()
        .map(|(number, order)| {
            let (caller, order) = (fleet.serving.caller(3), order.clone());
            thread::spawn(move || {
                thread::sleep(time::Duration::from_millis(number as u64 * 60));
                let caller = caller.header("idempotency-key", &order);
                // The killed instance answers nobody.
                drop(caller.post("/foundry/orders", &json!({ "order": order })));
            })
        })
        .collect();
    thread::sleep(time::Duration::from_millis(500));
    let process = &mut fleet.serving.instances_mut().instances_mut()[3];
    process.kill();
    fleet.serving.services()[0].control(&ServerControl::RunWithoutAnswer { count: 0 });
    let ran = orders.iter().filter(|order| fleet.serving.runs(order) == 1);
    assert!(ran.count() > 0, "no order ran before the kill");
    for sender in senders {
        sender.join().expect("the sender ends");
    }
    let repeat_all = |fleet: &order_fleet::OrderFleet, instance: usize| {
        for order in &orders {
            let repeat = send_keyed(&fleet.serving.caller(instance), order);
            let runs = fleet.serving.runs(order);
            assert!(runs <= 1, "{order} ran {runs} times");
            match repeat.status {
                200 => assert_eq!(runs, 1, "{order}"),
                409 => assert!(
                    ["order_running", "order_unknown"].contains(&repeat.refusal().as_str()),
                    "{order}: {}",
                    repeat.body
                ),
                other => panic!("{order}: {other}: {}", repeat.body),
            }
        }
    };
    repeat_all(&fleet, 0);
    let process = &mut fleet.serving.instances_mut().instances_mut()[3];
    process.start().expect("it starts again");
    process
        .wait_ready(harness::WAIT_LIMIT)
        .expect("it is ready again");
    repeat_all(&fleet, 3);
    harness::wait_until("no order counts as running any more", || {
        let running = orders.iter().filter(|order| {
            send_keyed(&fleet.serving.caller(1), order).refusal() == "order_running"
        });
        running.count() == 0
    });
    repeat_all(&fleet, 1);
}

#[test]
fn a_keyed_order_runs_once_and_keeps_its_answer_when_the_leader_dies_under_it() {
    let call_time = time::Duration::from_millis(800);
    let mut fleet =
        order_fleet::OrderFleet::with_call_time(1, harness::PeerRoute::Direct, call_time);
    let caller = fleet.serving.caller(3);
    let sender = thread::spawn(move || send_keyed(&caller, "leaderless"));
    harness::wait_until("the order is sent", || {
        let requests = fleet.serving.services()[0].ledger().requests;
        requests.iter().any(|request| request.method == "POST")
    });
    let leader = fleet.serving.leader().expect("there is a leader");
    fleet.serving.instances_mut().instances_mut()[leader].kill();
    let first = sender.join().expect("the sender ends");
    assert_eq!(first.status, 200, "{}", first.body);
    let other = (0..3)
        .find(|instance| *instance != leader)
        .expect("two are left");
    harness::wait_until("a repeat gets the first answer", || {
        let repeat = send_keyed(&fleet.serving.caller(other), "leaderless");
        repeat.status == 200 && repeat.replayed && repeat.body == first.body
    });
    assert_eq!(fleet.serving.runs("leaderless"), 1);
}

#[test]
fn a_keyed_order_goes_on_when_its_caller_disconnects() {
    let call_time = time::Duration::from_millis(500);
    let fleet = order_fleet::OrderFleet::with_call_time(1, harness::PeerRoute::Direct, call_time);
    let address = fleet.serving.address(3);
    let body = json!({ "order": "deserted" }).to_string();
    let mut socket = net::TcpStream::connect(address).expect("the instance listens");
    let request = format!(
        "POST /foundry/orders HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         idempotency-key: deserted\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n\
         {body}",
        fleet.serving.key(),
        body.len()
    );
    socket.write_all(request.as_bytes()).expect("written");
    harness::wait_until("the order is sent", || {
        let requests = fleet.serving.services()[0].ledger().requests;
        requests.iter().any(|request| request.method == "POST")
    });
    drop(socket);
    harness::wait_until("a repeat gets the answer", || {
        let repeat = send_keyed(&fleet.serving.caller(1), "deserted");
        repeat.status == 200 && repeat.replayed
    });
    assert_eq!(fleet.serving.runs("deserted"), 1);
}
