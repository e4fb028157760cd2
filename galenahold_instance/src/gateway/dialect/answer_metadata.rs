//! What the head of a backend server's answer says.

/// What the head of a backend server's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// It answers another request than the one that was sent.
    pub crossed: bool,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// The server is not the one that was meant, or does not hold what the request needs.
    pub misplaced: bool,
}
