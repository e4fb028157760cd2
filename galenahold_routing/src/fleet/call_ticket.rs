//! The identifier of a waiting call.

/// Identifies a waiting call within one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(pub(super) u64);
