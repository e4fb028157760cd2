//! What a piece of an answer was.

/// What a piece of an answer was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerPiece {
    /// So many tokens of the expected text.
    Tokens(u64),
    /// Nothing of the text.
    Other,
    /// The end mark of a stream.
    Done,
    /// An error.
    Failed,
    /// Text that the request did not ask for.
    Wrong,
}
