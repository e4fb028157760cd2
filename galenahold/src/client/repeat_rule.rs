//! When a call may be sent again.

/// When a call may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RepeatRule {
    /// Always: it changes nothing.
    Read,
    /// Always: it carries a request id, under which a repeat gets the first answer.
    SameRequest,
    /// Only while it provably changed nothing.
    NotApplied,
}
