//! A leader that stands still past its lease.

use std::thread;
use std::time;

use galenahold_testkit::{harness, proxy};
use serde_json::json;

use crate::fleet_setup;

/// Age at which a configuration no longer admits keys; with some slack.
const STALE_AFTER: time::Duration = time::Duration::from_millis(3_500);
/// How long callers go on at the instance once it goes on.
const CALL_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Callers that wait at the frozen instance when it goes on.
const CALLERS: usize = 8;

#[test]
fn frozen_leader_serves_no_withdrawn_key_and_acknowledges_nothing_alone() {
    let control = fleet_setup::ControlFleet::start();
    let service = control.start_service();
    let withdrawn = control.give_key(fleet_setup::ENTRY, "before");
    let old = control.leader();
    control.wait_served(old, &withdrawn.key);
    control.wait_served(fleet_setup::ENTRY, &withdrawn.key);
    let watch = harness::RevisionWatch::start(&control.probe);
    control.fleet.instances()[old].freeze().expect("it runs");
    harness::wait_within("another leads", fleet_setup::LIMIT, || {
        let leader = control.probe.leader(fleet_setup::ENTRY);
        leader.is_some_and(|leader| leader != old)
    });
    let body = json!({ "request": "withdraw", "id": withdrawn.id });
    fleet_setup::acknowledged(
        &control.probe,
        fleet_setup::ENTRY,
        "/v1/keys/withdraw",
        &body,
    );
    thread::sleep(STALE_AFTER);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = harness::FleetCaller::new(control.fleet.callers()[old]);
            let caller = caller.key(&withdrawn.key);
            thread::spawn(move || call_on(&caller, number))
        })
        .collect();
    let operators: Vec<_> = (0..CALLERS)
        .map(|number| {
            let probe = control.probe.clone();
            let request = format!("at-frozen-{number}");
            let body =
                json!({ "request": request, "team": "councils", "base": withdrawn.revision });
            thread::spawn(move || probe.post(old, "/v1/keys", &body))
        })
        .collect();
    // What waits at a frozen instance waits in the system's buffers; some time lets it get there.
    thread::sleep(time::Duration::from_millis(300));
    // Nobody tells it that another leads: its lease alone has to.
    control.fleet.links().set_each(|from, to| {
        if from.is_none() || from == Some(old) || to == old {
            proxy::LinkFault::cut()
        } else {
            proxy::LinkFault::pass()
        }
    });
    control.fleet.instances()[old].thaw().expect("it runs");
    for caller in callers {
        caller.join().expect("every call was refused as not run");
    }
    control.fleet.links().heal();
    let ran = service.ledger().requests;
    assert!(!ran.iter().any(|request| request.path.contains("frozen")));
    let mut given = Vec::new();
    for operator in operators {
        let answer = operator.join().expect("no panic").expect("an answer");
        if answer.status == 200 {
            given.push(answer.json()["id"].as_str().expect("an id").to_owned());
        } else {
            assert!(answer.status >= 500, "{answer:?}");
        }
    }
    let ids = control.key_ids(fleet_setup::ENTRY);
    for id in given {
        assert!(ids.contains(&id), "key {id} was acknowledged and is lost");
    }
    assert!(!ids.contains(&withdrawn.id));
    let ready = &control.fleet.instances()[old];
    harness::wait_within("it follows again", fleet_setup::LIMIT, || ready.is_ready());
    assert_eq!(watch.finish(), []);
}

/// Calls again and again, the first time while the instance stands still; each call must be refused.
fn call_on(caller: &harness::FleetCaller, number: usize) {
    let path = format!("/foundry/records/frozen-{number}");
    let mut refused_since = None;
    loop {
        let answer = caller.get(&path).expect("an answer");
        assert!([401, 503].contains(&answer.status), "{answer:?}");
        assert_eq!(answer.verdict.as_deref(), Some("not-run"), "{answer:?}");
        let since = *refused_since.get_or_insert_with(time::Instant::now);
        if since.elapsed() >= CALL_TIME {
            return;
        }
    }
}
