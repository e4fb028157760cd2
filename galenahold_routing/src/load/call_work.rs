//! The expected work of a call at an engine.

use std::time;

/// What a call asks of an engine, as far as it is known before it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected number of events of the answer.
    pub output_events: u64,
    /// Expected tokens of the answer.
    pub output_tokens: u64,
    /// The time from the call's arrival within which its answer should begin.
    pub objective: time::Duration,
    /// The longest pause between two events with which the answer is on time.
    pub event_gap: Option<time::Duration>,
}
