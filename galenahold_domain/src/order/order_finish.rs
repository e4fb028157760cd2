//! What the ledger answers to the end of an attempt.

use std::fmt;

/// What the ledger answers to the end of an attempt.
///
/// Its `Display` form says why nothing was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFinish {
    /// The outcome is recorded, or an outcome was before.
    Recorded,
    /// There is no such order.
    NoSuchOrder,
    /// The attempt is not the current one; nothing was changed.
    WrongAttempt {
        /// The current attempt.
        current: u32,
    },
}

impl fmt::Display for OrderFinish {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Recorded => formatter.write_str("the order's outcome is recorded"),
            Self::NoSuchOrder => {
                formatter.write_str("finish an order: none was started under this key")
            }
            Self::WrongAttempt { current } => write!(
                formatter,
                "finish an order: attempt {current} is the current one; only it may be finished"
            ),
        }
    }
}
