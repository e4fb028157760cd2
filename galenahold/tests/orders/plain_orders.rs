//! Orders without an idempotency key.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use galenahold_testkit::control::ServerControl;
use galenahold_testkit::harness;
use galenahold_testkit::ledger;
use galenahold_testkit::proxy;
use serde_json::json;

use crate::order_fleet;
use crate::order_fleet::{assert_true_verdict, send};

/// The time that a caller gives an order whose answer will not come.
const SHORT: time::Duration = time::Duration::from_millis(700);

/// Makes a link fail in one way.
type LinkBreaker = fn(&proxy::FaultLink);

#[test]
fn the_verdict_is_true_and_nothing_runs_twice_when_the_server_misbehaves() {
    let fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Direct);
    let server = &fleet.serving.services()[0];
    let faults = [
        ("before", ServerControl::ResetBeforeBody { count: 1 }),
        ("during", ServerControl::ResetDuringBody { count: 1 }),
        ("after", ServerControl::ResetAfterBody { count: 1 }),
        ("ran", ServerControl::RunThenReset { count: 1 }),
        ("stalled", ServerControl::RunWithoutAnswer { count: 1 }),
        ("refused", ServerControl::RefuseNotRun { count: 1 }),
        ("refused-often", ServerControl::RefuseNotRun { count: 50 }),
        ("crossed", ServerControl::WrongRequestId { count: 1 }),
    ];
    for (order, fault) in faults {
        assert!(server.control(&ServerControl::RefuseNotRun { count: 0 }));
        assert!(server.control(&fault));
        let answer = send(&fleet.hasty_caller(3, SHORT), order);
        let runs = fleet.serving.runs(order);
        assert_true_verdict(&answer, runs, order);
        match order {
            "refused" => assert_eq!((answer.status, runs), (200, 1), "{}", answer.body),
            "refused-often" => assert_eq!(answer.verdict.as_deref(), Some("not-run")),
            _ => assert_eq!(answer.verdict.as_deref(), Some("may-have-run"), "{order}"),
        }
    }
}

#[test]
fn the_verdict_is_true_when_links_refuse_cut_and_reset() {
    let fleet = order_fleet::OrderFleet::start(0, harness::PeerRoute::Direct);
    let linked = order_fleet::LinkedServer::start(&fleet.serving);
    let faults: [(&str, LinkBreaker); 5] = [
        ("link-refused", |link| link.refuse(true)),
        ("link-cut-there", |link| {
            link.set(proxy::LinkDirection::ToServer, proxy::LinkFault::cut());
        }),
        ("link-cut-back", |link| {
            link.set(proxy::LinkDirection::ToClient, proxy::LinkFault::cut());
        }),
        ("link-reset-there", |link| {
            let fault = proxy::LinkFault::pass().reset_after(60);
            link.set(proxy::LinkDirection::ToServer, fault);
        }),
        ("link-reset-back", |link| {
            let fault = proxy::LinkFault::pass().reset_after(30);
            link.set(proxy::LinkDirection::ToClient, fault);
        }),
    ];
    for (order, fault) in faults {
        fault(&linked.link);
        let answer = send(&fleet.hasty_caller(3, SHORT), order);
        linked.link.heal();
        linked.link.reset_connections();
        // What the cut held back may still arrive.
        thread::sleep(time::Duration::from_millis(200));
        assert_true_verdict(&answer, linked.server.ledger().runs(order), order);
        if order == "link-refused" {
            assert_eq!(answer.verdict.as_deref(), Some("not-run"));
        }
        harness::wait_until("the server is reached again", || {
            let read = fleet.serving.caller(3).get("/foundry/records/healed");
            read.is_ok_and(|answer| answer.status == 200)
        });
    }
}

#[test]
fn an_order_without_a_key_runs_at_most_once_when_its_server_dies_in_the_middle() {
    let call_time = time::Duration::from_millis(300);
    let fleet = order_fleet::OrderFleet::with_call_time(2, harness::PeerRoute::Direct, call_time);
    fleet.serving.services()[0].control(&ServerControl::RunWithoutAnswer { count: 100 });
    let caller = fleet.serving.caller(3);
    let senders: Vec<_> = (0..16)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                thread::sleep(time::Duration::from_millis(number * 30));
                let order = format!("dying-{number}");
                (send(&caller, &order), order)
            })
        })
        .collect();
    // Some of its orders have run when it dies, and others have not.
    harness::wait_until("the first server ran an order", || {
        let ledger = fleet.serving.services()[0].ledger();
        ledger.count(ledger::RequestOutcome::Unanswered) > 0
    });
    fleet.serving.services()[0].crash();
    for sender in senders {
        let (answer, order) = sender.join().expect("the sender ends");
        assert_true_verdict(&answer, fleet.serving.runs(&order), &order);
    }
}

#[test]
fn the_verdict_is_true_when_the_instance_is_frozen_past_the_deadline() {
    let call_time = time::Duration::from_millis(100);
    let fleet = order_fleet::OrderFleet::with_call_time(1, harness::PeerRoute::Direct, call_time);
    let caller = fleet.hasty_caller(3, SHORT);
    let senders: Vec<_> = (0..40)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                thread::sleep(time::Duration::from_millis(number * 10));
                let order = format!("frozen-{number}");
                let answer = caller.post("/foundry/orders", &json!({ "order": order }));
                (answer.expect("an answer comes"), order)
            })
        })
        .collect();
    thread::sleep(time::Duration::from_millis(200));
    let instance = &fleet.serving.instances().instances()[3];
    instance.freeze().expect("it runs");
    thread::sleep(SHORT * 2);
    instance.thaw().expect("it runs");
    for sender in senders {
        let (answer, order) = sender.join().expect("the sender ends");
        assert_true_verdict(&answer, fleet.serving.runs(&order), &order);
    }
}

/// Guards against an order that waits for a server, and is sent although its caller has left.
#[test]
fn an_order_without_a_key_is_not_sent_once_its_caller_has_left() {
    let fleet = order_fleet::OrderFleet::start(1, harness::PeerRoute::Direct);
    let server = &fleet.serving.services()[0];
    assert!(server.control(&ServerControl::Announce { on: false }));
    harness::wait_until("no server is left", || {
        let answer = send(&fleet.hasty_caller(3, SHORT), "probe");
        answer.verdict.as_deref() == Some("not-run")
    });
    let deserted = open_order(&fleet, "deserted");
    let mut kept = open_order(&fleet, "kept");
    let waits = |count: usize| {
        let instance = &fleet.serving.instances().instances()[3];
        let metrics = harness::FleetCaller::new(instance.addresses().platform).get("/metrics");
        let line = format!("waiting_requests {count}");
        metrics.is_ok_and(|answer| answer.body.lines().any(|found| found.ends_with(&line)))
    };
    harness::wait_until("both orders wait", || waits(2));
    drop(deserted);
    harness::wait_until("one order still waits", || waits(1));
    assert!(server.control(&ServerControl::Announce { on: true }));
    let mut answer = String::new();
    kept.read_to_string(&mut answer)
        .expect("the answer is whole");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(fleet.serving.runs("deserted"), 0);
}

/// Guards against a request that is cut without an answer at the end of a planned stop, because it still waits.
#[test]
fn an_order_that_waits_at_the_end_of_a_planned_stop_is_answered() {
    let mut fleet = order_fleet::OrderFleet::with_settings(
        1,
        harness::PeerRoute::Direct,
        time::Duration::from_millis(1),
        &json!({ "timing": { "drain_ms": 1_500 } }),
    );
    let server = &fleet.serving.services()[0];
    assert!(server.control(&ServerControl::Announce { on: false }));
    harness::wait_until("no server is left", || {
        let answer = send(&fleet.hasty_caller(3, SHORT), "probe");
        answer.verdict.as_deref() == Some("not-run")
    });
    let mut socket = open_order(&fleet, "waiting");
    // The order is read before the listener closes its connections.
    thread::sleep(SHORT);
    let process = &mut fleet.serving.instances_mut().instances_mut()[3];
    process.terminate().expect("the process runs");
    let mut answer = String::new();
    socket
        .read_to_string(&mut answer)
        .expect("the answer is whole");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("verdict"), "{answer}");
    assert_eq!(fleet.serving.runs("waiting"), 0);
}

/// Sends an order without a key that may wait for a minute, and returns its connection.
fn open_order(fleet: &order_fleet::OrderFleet, order: &str) -> net::TcpStream {
    let address = fleet.serving.address(3);
    let body = json!({ "order": order }).to_string();
    let mut socket = net::TcpStream::connect(address).expect("the instance listens");
    let request = format!(
        "POST /foundry/orders HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         x-request-timeout-ms: 60000\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        fleet.serving.key(),
        body.len()
    );
    socket.write_all(request.as_bytes()).expect("written");
    socket
}
