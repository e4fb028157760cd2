//! Memory, loads, unloads, adapters and crashes.

use galenahold_testkit::{control, engine, ledger};
use serde_json::json;

use crate::caller;

fn builder() -> engine::EngineBuilder {
    engine::EngineBuilder::new("engine-1").memory_bytes(100)
}

#[test]
fn overcommitted_memory_shows_in_the_ledger() {
    let engine = builder().start().expect("an engine");
    assert_eq!(caller::load(engine.address(), "a", 80, "1.1"), 200);
    assert_eq!(engine.ledger().overcommitted_bytes(), 0);
    assert_eq!(caller::load(engine.address(), "b", 50, "1.2"), 200);
    assert_eq!(engine.ledger().overcommitted_bytes(), 30);
}

#[test]
fn overcommitting_load_is_refused_on_request() {
    let engine = builder()
        .refuse_overcommit(true)
        .start()
        .expect("an engine");
    assert_eq!(caller::load(engine.address(), "a", 80, "1.1"), 200);
    assert_eq!(caller::load(engine.address(), "b", 50, "1.2"), 507);
    assert_eq!(engine.ledger().overcommitted_bytes(), 0);
    assert_eq!(engine.ledger().peak_memory_bytes, 80);
}

#[test]
fn unloaded_model_frees_memory_and_takes_no_requests() {
    let engine = builder().start().expect("an engine");
    caller::load(engine.address(), "a", 80, "1.1");
    let path = "/v2/repository/models/a/unload";
    let answer = caller::post(engine.address(), path, &[], &json!({}));
    assert_eq!(answer.status, 200);
    assert_eq!(engine.ledger().memory_bytes, 0);
    let body = json!({"model": "a", "prompt": "rib"});
    let refused = caller::post(engine.address(), "/v1/completions", &[], &body);
    assert_eq!(refused.status, 404);
    let ledgers = [engine.ledger()];
    assert_eq!(ledger::LedgerSnapshot::peak_replicas(&ledgers, "a"), 1);
}

#[test]
fn adapter_needs_its_base_and_goes_with_it() {
    let engine = builder().start().expect("an engine");
    let order = json!({"lora_name": "glue", "base_model_name": "a", "bytes": 5, "order": 3});
    let load = || caller::post(engine.address(), "/v1/load_lora_adapter", &[], &order).status;
    assert_eq!(load(), 404);
    caller::load(engine.address(), "a", 80, "1.1");
    assert_eq!(load(), 200);
    let body = json!({"model": "glue", "prompt": "rib", "max_tokens": 2});
    let answer = caller::post(engine.address(), "/v1/completions", &[], &body);
    assert_eq!(
        answer.text(),
        engine::AnswerText::new("glue", "rib").text(0, 2)
    );
    let index = caller::post(engine.address(), "/v2/repository/index", &[], &json!({}));
    assert_eq!(index.body[1]["adapter"], "glue");
    let path = "/v2/repository/models/a/unload";
    caller::post(engine.address(), path, &[], &json!({}));
    assert!(engine.loaded().is_empty());
}

#[test]
fn crash_in_a_load_leaves_an_empty_engine_with_a_new_incarnation() {
    let mut engine = builder().start().expect("an engine");
    let before = engine.incarnation();
    engine.control(&control::ServerControl::CrashNextLoad);
    let url = format!("http://{}/v2/repository/models/a/load", engine.address());
    let body = json!({"parameters": {"bytes": 10}});
    assert!(ureq::post(url).send_json(&body).is_err());
    caller::wait_until("the crash", || engine.is_crashed());
    assert_eq!(engine.ledger().loads_in_flight, 1);
    engine.restart().expect("a restarted engine");
    assert!(engine.incarnation() > before);
    assert!(engine.loaded().is_empty());
    assert_eq!(caller::load(engine.address(), "a", 10, "1.1"), 200);
}
