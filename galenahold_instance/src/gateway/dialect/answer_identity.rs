//! The request that an answer belongs to.

/// Which request a backend server's answer belongs to, by the id that it repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdentity {
    /// The request that was sent.
    Own,
    /// Another request than the one that was sent.
    Crossed,
    /// The answer has no id.
    Unknown,
}
