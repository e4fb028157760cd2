//! Whole, streamed, cancelled, cut and resumed answers.

use galenahold_testkit::{control, engine, ledger};
use serde_json::json;

use crate::caller;

fn start() -> engine::EngineProcess {
    engine::EngineBuilder::new("engine-1")
        .model("llm", "1", 1_000)
        .start()
        .expect("an engine")
}

/// Joins the text of streamed events.
fn joined(events: &[String]) -> String {
    events
        .iter()
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

#[test]
fn whole_answer_is_the_deterministic_text_with_its_usage() {
    let engine = start();
    let body = json!({"model": "llm", "prompt": "flood mark", "max_tokens": 5});
    let headers = [("x-request-id", "r-1"), ("x-team", "foundry")];
    let answer = caller::post(engine.address(), "/v1/completions", &headers, &body);
    let expected = engine::AnswerText::new("llm", "flood mark");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), expected.text(0, 5));
    assert_eq!(answer.header("x-request-id"), "r-1");
    assert_eq!(answer.body["usage"]["completion_tokens"], 5);
    let record = &engine.ledger().requests[0];
    assert_eq!(record.outcome, ledger::RequestOutcome::Finished);
    assert_eq!(record.team.as_deref(), Some("foundry"));
    assert_eq!(record.output_tokens, 5);
}

#[test]
fn stream_ends_with_usage_and_done() {
    let engine = start();
    let body = json!({
        "model": "llm", "prompt": "rib", "max_tokens": 4, "stream": true,
        "stream_options": {"include_usage": true}
    });
    let events: Vec<_> = caller::stream(engine.address(), &[], &body)
        .collect::<Result<_, _>>()
        .expect("a whole stream");
    assert_eq!(
        joined(&events),
        engine::AnswerText::new("llm", "rib").text(0, 4)
    );
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let usage: serde_json::Value = serde_json::from_str(&events[events.len() - 2]).expect("JSON");
    assert_eq!(usage["usage"]["completion_tokens"], 4);
}

#[test]
fn model_that_is_not_loaded_is_refused_as_not_run() {
    let engine = start();
    let body = json!({"model": "other", "prompt": "rib"});
    let answer = caller::post(engine.address(), "/v1/chat/completions", &[], &body);
    assert_eq!(answer.status, 404);
    assert_eq!(answer.header("x-verdict"), "not-run");
    assert!(answer.body["error"]["message"].is_string());
    assert_eq!(engine.ledger().count(ledger::RequestOutcome::Refused), 1);
}

#[test]
fn closed_connection_cancels_its_request() {
    let engine = start();
    let body = json!({"model": "llm", "prompt": "rib", "max_tokens": 100_000, "stream": true});
    let mut events = caller::stream(engine.address(), &[], &body);
    events.next().expect("a first event").expect("a token");
    drop(events);
    caller::wait_until("the cancelled request", || {
        engine.ledger().count(ledger::RequestOutcome::Cancelled) == 1
    });
    assert!(engine.ledger().requests[0].output_tokens < 100_000);
}

#[test]
fn cut_stream_resumes_on_another_engine() {
    let (first, second) = (start(), start());
    first.control(&control::ServerControl::CutStream {
        after_tokens: 3,
        count: 1,
    });
    let body = json!({"model": "llm", "prompt": "rib", "max_tokens": 8, "stream": true});
    let (mut begun, mut cut) = (Vec::new(), false);
    for event in caller::stream(first.address(), &[("x-request-id", "r-1")], &body) {
        match event {
            Ok(data) => begun.push(data),
            Err(_) => cut = true,
        }
    }
    assert!(cut, "the stream ended without an error");
    assert_eq!(begun.len(), 3);
    let headers = [("x-resume-request-id", "r-1"), ("x-resume-offset", "3")];
    let rest: Vec<_> = caller::stream(second.address(), &headers, &body)
        .collect::<Result<_, _>>()
        .expect("a whole rest");
    let text = joined(&begun) + &joined(&rest);
    assert_eq!(text, engine::AnswerText::new("llm", "rib").text(0, 8));
    assert_eq!(second.ledger().requests[0].resume_offset, 3);
}

#[test]
fn wrong_request_id_is_echoed_on_demand() {
    let engine = start();
    engine.control(&control::ServerControl::WrongRequestId { count: 1 });
    let body = json!({"model": "llm", "prompt": "rib"});
    let echoed = || {
        let headers = [("x-request-id", "r-1")];
        let answer = caller::post(engine.address(), "/v1/completions", &headers, &body);
        answer.header("x-request-id").to_owned()
    };
    assert_ne!(echoed(), "r-1");
    assert_eq!(echoed(), "r-1");
}
