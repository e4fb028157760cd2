//! Cached prefixes, natural ends, chats, pauses and stalls.

use std::time;

use galenahold_testkit::{control, engine, ledger};
use serde_json::json;

use crate::caller;

fn start(settings: engine::EngineSettings) -> engine::EngineProcess {
    let models = vec![engine::InitialModel {
        model: "llm".to_owned(),
        version: "1".to_owned(),
        bytes: 1,
    }];
    let settings = engine::EngineSettings { models, ..settings };
    let builder = engine::EngineBuilder::from_settings(settings);
    builder.start().expect("an engine")
}

/// Asks for one token and gives the request's record.
fn ask(engine: &engine::EngineProcess, prompt: &str) -> ledger::RequestRecord {
    let body = json!({"model": "llm", "prompt": prompt, "max_tokens": 1});
    let answer = caller::post(engine.address(), "/v1/completions", &[], &body);
    assert_eq!(answer.status, 200);
    let last = engine.ledger().requests.pop();
    last.expect("a request")
}

#[test]
fn cached_prefix_needs_no_prefill_of_its_own() {
    let timings = engine::EngineTimings {
        prefill_us_per_token: 1_000,
        ..engine::EngineTimings::default()
    };
    let engine = start(engine::EngineSettings {
        timings,
        ..engine::EngineSettings::default()
    });
    let prompt = "flood mark ".repeat(40);
    let fresh = ask(&engine, &prompt);
    let cached = ask(&engine, &format!("{prompt} of another year"));
    assert_eq!((fresh.prompt_tokens, fresh.cached_tokens), (110, 0));
    let taken = fresh.ended_us.map(|ended| ended - fresh.started_us);
    assert!(taken >= Some(110_000), "{taken:?}");
    // The first 440 bytes hold 6 whole blocks of 16 tokens.
    assert_eq!(cached.cached_tokens, 96);
}

#[test]
fn natural_end_comes_before_the_most_tokens() {
    let engine = start(engine::EngineSettings {
        natural_limit: 5,
        ..engine::EngineSettings::default()
    });
    let body = json!({"model": "llm", "prompt": "rib", "max_tokens": 100});
    let answer = caller::post(engine.address(), "/v1/completions", &[], &body);
    let expected = engine::AnswerText::new("llm", "rib").token_count(100, 5);
    assert!(expected <= 5);
    assert_eq!(answer.body["usage"]["completion_tokens"], expected);
    assert_eq!(answer.body["choices"][0]["finish_reason"], "stop");
}

#[test]
fn chat_answers_the_joined_messages() {
    let engine = start(engine::EngineSettings::default());
    let messages = json!([
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": [{"type": "text", "text": "rib"}]}
    ]);
    let body = json!({"model": "llm", "messages": messages, "max_tokens": 3});
    let answer = caller::post(engine.address(), "/v1/chat/completions", &[], &body);
    let text = &answer.body["choices"][0]["message"]["content"];
    let expected = engine::AnswerText::new("llm", "system: be brief\nuser: rib");
    assert_eq!(*text, expected.text(0, 3));
}

#[test]
fn paused_engine_stands_still_and_goes_on_with_its_requests() {
    let engine = start(engine::EngineSettings::default());
    let body = json!({"model": "llm", "prompt": "rib", "max_tokens": 100_000, "stream": true});
    let mut events = caller::stream(engine.address(), &[], &body);
    assert!(events.next().is_some_and(|event| event.is_ok()));
    let tokens = || engine.ledger().requests[0].output_tokens;
    engine.control(&control::ServerControl::Pause { on: true });
    caller::wait_until("an engine that stands still", || {
        let before = tokens();
        std::thread::sleep(time::Duration::from_millis(100));
        tokens() == before
    });
    let paused_at = tokens();
    engine.control(&control::ServerControl::Pause { on: false });
    caller::wait_until("an engine that goes on", || tokens() > paused_at);
}

#[test]
fn stalled_stream_stays_open_after_its_tokens() {
    let engine = start(engine::EngineSettings::default());
    engine.control(&control::ServerControl::StallStream {
        after_tokens: 2,
        count: 1,
    });
    let body = json!({"model": "llm", "prompt": "rib", "max_tokens": 9, "stream": true});
    let mut events = caller::stream(engine.address(), &[], &body);
    assert!(events.next().is_some_and(|event| event.is_ok()));
    assert!(events.next().is_some_and(|event| event.is_ok()));
    // The other requests of the batch go on.
    ask(&engine, "other");
    let stalled = &engine.ledger().requests[0];
    assert_eq!(stalled.outcome, ledger::RequestOutcome::Running);
    assert_eq!(stalled.output_tokens, 2);
}
