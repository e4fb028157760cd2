//! Whether an answer is whole and belongs to its request.

use super::answer_document::{AnswerDocument, AnswerError};
use super::answer_piece::AnswerPiece;
use crate::engine;

/// Compares an answer with the deterministic text, piece by piece.
#[derive(Debug)]
pub(crate) struct AnswerCheck {
    text: engine::AnswerText,
    expected: u64,
    received: u64,
    finished: bool,
    error: AnswerError,
}

impl AnswerCheck {
    /// Makes the check of an answer with `expected` tokens.
    pub(crate) fn new(model: &str, prompt: &str, expected: u64) -> Self {
        Self {
            text: engine::AnswerText::new(model, prompt),
            expected,
            received: 0,
            finished: false,
            error: AnswerError::default(),
        }
    }

    /// Takes one event's data, or a whole answer.
    pub(crate) fn take(&mut self, data: &[u8]) -> AnswerPiece {
        if data == b"[DONE]" {
            return AnswerPiece::Done;
        }
        let Ok(document) = serde_json::from_slice::<AnswerDocument>(data) else {
            return AnswerPiece::Wrong;
        };
        if let Some(error) = document.error {
            self.error = error;
            return AnswerPiece::Failed;
        }
        let Some(choice) = document.choices.into_iter().next() else {
            return AnswerPiece::Other;
        };
        self.finished |= choice.finish_reason.is_some();
        let message = choice.delta.or(choice.message);
        let text = choice
            .text
            .or(message.and_then(|message| message.content))
            .unwrap_or_default();
        self.take_text(&text)
    }

    /// Tells whether all came, and nothing else.
    pub(crate) fn is_whole(&self) -> bool {
        self.finished && self.received == self.expected
    }

    /// Returns the error that the answer ended in, empty without one.
    pub(crate) fn error(&self) -> &AnswerError {
        &self.error
    }

    /// Returns the tokens received.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    fn take_text(&mut self, text: &str) -> AnswerPiece {
        if text.is_empty() {
            return AnswerPiece::Other;
        }
        let tokens = (text.len() / engine::AnswerText::TOKEN_BYTES) as u64;
        if self.text.text(self.received, tokens) != text {
            return AnswerPiece::Wrong;
        }
        self.received += tokens;
        AnswerPiece::Tokens(tokens)
    }
}
