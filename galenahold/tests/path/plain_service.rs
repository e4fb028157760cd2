//! Calls to a plain service.

use serde_json::json;

use crate::fleet_setup;

#[test]
fn an_order_sent_twice_under_one_key_through_two_instances_runs_once() {
    let path = fleet_setup::PathFleet::start(galenahold_testkit::engine::EngineTimings::default());
    let order = json!({ "order": "plaque-17" });
    let send = |instance: usize| {
        path.caller(instance)
            .header("idempotency-key", "plaque-17")
            .post("/foundry/orders", &order)
            .expect("an answer comes")
    };
    let first = send(3);
    let second = send(0);
    assert_eq!((first.status, second.status), (200, 200));
    assert!(!first.replayed && second.replayed);
    assert_eq!(first.body, second.body);
    assert_eq!(path.service.ledger().runs("plaque-17"), 1);
}

#[test]
fn no_backend_server_sees_a_key_wherever_the_caller_repeats_it() {
    let path = fleet_setup::PathFleet::start(galenahold_testkit::engine::EngineTimings::default());
    let key = path.key.clone();
    let caller = path
        .caller(3)
        .header("cookie", &format!("session={key}"))
        .header("x-api-key", &key)
        .header("user-agent", &format!("agent {key}"));
    let read = caller
        .get(&format!("/foundry/records/7?api_key={key}&plain=1"))
        .expect("an answer comes");
    assert_eq!(read.status, 200);
    let in_path = caller
        .get(&format!("/foundry/{key}"))
        .expect("an answer comes");
    assert_eq!(in_path.refusal(), "bad_request");
    let in_body = caller
        .post("/foundry/orders", &json!({ "note": key }))
        .expect("an answer comes");
    assert_eq!(in_body.refusal(), "bad_request");
    let secret = key.rsplit('_').next().expect("the key has a secret");
    for request in &path.service.ledger().requests {
        assert!(!request.mentions(secret), "{request:?}");
    }
    for request in &path.engine.ledger().requests {
        assert!(!request.mentions(secret), "{request:?}");
    }
    for instance in path.fleet.instances() {
        assert!(!instance.log().contains(secret));
    }
}
