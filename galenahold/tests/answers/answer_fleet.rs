//! The fleet that the tests of answers use.

use std::sync;

use galenahold_testkit::engine;
use galenahold_testkit::harness;
use serde_json::Value;

/// One fleet at a time keeps the processes' timing apart.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

/// A fleet with engines, alone on the machine as far as this binary goes.
pub(crate) struct AnswerFleet {
    /// The fleet.
    pub(crate) serving: harness::ServingFleet,
    _turn: sync::MutexGuard<'static, ()>,
}

impl AnswerFleet {
    /// Starts three control instances and engines that hold the model.
    pub(crate) fn start(engines: usize, step_us: u64) -> Self {
        let turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let timings = engine::EngineTimings {
            step_us,
            ..engine::EngineTimings::default()
        };
        let serving = harness::ServingBuilder::default()
            .engines(engines, timings)
            .start()
            .expect("the fleet starts");
        Self {
            serving,
            _turn: turn,
        }
    }

    /// Asks for a streamed chat at the first instance.
    pub(crate) fn stream(&self, text: &str, tokens: u64) -> harness::CallerAnswer {
        self.serving
            .caller(0)
            .chat(harness::SERVED_MODEL, text, tokens, true)
            .expect("an answer comes")
    }
}

/// Returns the whole answer that every engine gives to one user message.
pub(crate) fn expected_text(text: &str, tokens: u64) -> String {
    let prompt = format!("user: {text}");
    engine::AnswerText::new(harness::SERVED_MODEL, &prompt).text(0, tokens)
}

/// Returns the events of a streamed answer, without the end mark.
pub(crate) fn events(body: &str) -> Vec<Value> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("each event is JSON"))
        .collect()
}

/// Returns the text of a streamed answer.
pub(crate) fn streamed_text(body: &str) -> String {
    let events = events(body);
    let texts = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    texts.collect()
}

/// Asserts that a streamed answer is whole, in order and there once.
pub(crate) fn assert_whole(body: &str, text: &str, tokens: u64) {
    assert_eq!(streamed_text(body), expected_text(text, tokens), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    assert_eq!(body.matches("[DONE]").count(), 1);
}
