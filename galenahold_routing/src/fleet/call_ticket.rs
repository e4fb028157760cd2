//! Names a waiting call.

/// Names a waiting call at one board.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(pub(super) u64);
