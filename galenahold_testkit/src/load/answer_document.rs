//! The fields of an event or answer that are checked.

use serde::Deserialize;

/// The fields of an event or answer that are checked.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerDocument {
    /// The answers; one at most is read.
    #[serde(default)]
    pub(crate) choices: Vec<AnswerChoice>,
    /// An error in place of answers.
    pub(crate) error: Option<AnswerError>,
}

/// One answer.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerChoice {
    /// The text of a completion.
    pub(crate) text: Option<String>,
    /// The next piece of a chat.
    pub(crate) delta: Option<AnswerMessage>,
    /// A whole message of a chat.
    pub(crate) message: Option<AnswerMessage>,
    /// Why the answer ended; only at its end.
    pub(crate) finish_reason: Option<String>,
}

/// One message.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerMessage {
    /// The text.
    pub(crate) content: Option<String>,
}

/// An error in a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct AnswerError {
    /// Its kind.
    #[serde(default, rename = "type")]
    pub(crate) kind: String,
    /// Whether the request may have run.
    #[serde(default)]
    pub(crate) verdict: String,
}
