//! The bodies of completions and chat completions.

use serde::Deserialize;

/// Output tokens without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: MessageContent,
}

/// Text, or a list of parts of which those with text count.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

impl Default for MessageContent {
    fn default() -> Self {
        Self::Text(String::new())
    }
}

impl MessageContent {
    fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// The fields of a request that the stand-in honours.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerationBody {
    /// A model or an adapter.
    pub(crate) model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    /// The priority; lower runs first.
    #[serde(default)]
    pub(crate) priority: i64,
}

impl GenerationBody {
    /// Returns the prompt: the text given, or a line `role: content` for each message.
    pub(crate) fn prompt_text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let lines: Vec<_> = self
            .messages
            .iter()
            .map(|message| format!("{}: {}", message.role, message.content.text()))
            .collect();
        lines.join("\n")
    }

    /// Returns the most output tokens asked for.
    pub(crate) fn max_tokens(&self) -> u64 {
        self.max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS)
            .max(1)
    }

    /// Tells whether a stream ends with its usage.
    pub(crate) fn includes_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }
}
