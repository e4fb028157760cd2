//! What the events of a stream carry.

use std::fmt::Write;

/// What the events of a stream carry besides the tokens.
#[derive(Debug)]
pub(crate) struct EventFormat {
    /// The id of the answer.
    pub(crate) id: String,
    /// The request id that the answer echoes.
    pub(crate) echoed_id: String,
    /// The model as asked for.
    pub(crate) model: String,
    /// Whether it is a chat.
    pub(crate) chat: bool,
    /// Whether the answer comes as events.
    pub(crate) wants_events: bool,
    /// Whether the usage comes before the end.
    pub(crate) includes_usage: bool,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Why the answer ends.
    pub(crate) finish_reason: &'static str,
}

impl EventFormat {
    /// Appends one event with at most one choice.
    pub(crate) fn write_event(&self, events: &mut String, choice: &str, rest: &str) {
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let model = serde_json::Value::from(self.model.as_str());
        let id = serde_json::Value::from(self.id.as_str());
        // Writing to a string cannot fail.
        let _ = write!(
            events,
            "data: {{\"id\":{id},\"object\":\"{object}\",\"created\":0,\"model\":{model},\"choices\":[{choice}]{rest}}}\n\n",
        );
    }

    /// Returns the whole answer as one JSON text.
    pub(crate) fn whole_answer(&self, text: &str, completion_tokens: u64) -> serde_json::Value {
        let (object, choice) = if self.chat {
            let message = serde_json::json!({"role": "assistant", "content": text});
            (
                "chat.completion",
                serde_json::json!({"index": 0, "message": message, "finish_reason": self.finish_reason}),
            )
        } else {
            (
                "text_completion",
                serde_json::json!({"index": 0, "text": text, "finish_reason": self.finish_reason}),
            )
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(self.prompt_tokens, completion_tokens),
        })
    }
}

/// Returns the usage of an answer.
pub(crate) fn usage_json(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}
