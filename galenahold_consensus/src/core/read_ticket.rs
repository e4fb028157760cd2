//! Correlation of read requests with their outcomes.

/// A number by which the caller matches a read request with its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadTicket(u64);

impl ReadTicket {
    /// Creates a ticket from the caller's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}
