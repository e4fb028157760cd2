//! Order and load of the batch.

use std::thread;

use galenahold_testkit::{engine, ledger};
use serde_json::json;

use crate::caller;

#[test]
fn lower_priority_value_runs_first_when_the_batch_is_full() {
    let engine = engine::EngineBuilder::new("engine-1")
        .model("llm", "1", 1_000)
        .max_batch(1)
        .start()
        .expect("an engine");
    let address = engine.address();
    let call = |priority: i64, max_tokens: u64| {
        let prompt = format!("prompt {priority}");
        let body = json!({
            "model": "llm", "prompt": prompt, "max_tokens": max_tokens, "priority": priority
        });
        caller::post(address, "/v1/completions", &[], &body).status
    };
    thread::scope(|scope| {
        scope.spawn(|| call(0, 60));
        caller::wait_until("the first request", || engine.ledger().requests.len() == 1);
        scope.spawn(|| call(9, 2));
        caller::wait_until("the second request", || engine.ledger().requests.len() == 2);
        scope.spawn(|| call(1, 2));
    });
    let mut requests = engine.ledger().requests;
    requests.sort_by_key(|request| request.ended_us);
    let order: Vec<_> = requests.iter().map(|request| request.priority).collect();
    assert_eq!(order, [0, 1, 9]);
}

#[test]
fn requests_of_a_batch_run_side_by_side() {
    let engine = engine::EngineBuilder::new("engine-1")
        .model("llm", "1", 1_000)
        .start()
        .expect("an engine");
    let address = engine.address();
    thread::scope(|scope| {
        for caller in 0..4 {
            scope.spawn(move || {
                let body = json!({"model": "llm", "prompt": caller.to_string(), "max_tokens": 60});
                caller::post(address, "/v1/completions", &[], &body)
            });
        }
    });
    let requests = engine.ledger().requests;
    let last_start = requests.iter().map(|request| request.started_us).max();
    let first_end = requests.iter().filter_map(|request| request.ended_us).min();
    assert_eq!(requests.len(), 4);
    assert!(last_start < first_end, "no two requests overlapped");
    assert_eq!(engine.ledger().count(ledger::RequestOutcome::Finished), 4);
}
