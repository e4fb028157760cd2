//! The result of reporting the end of an attempt to the order ledger.

use std::fmt;

/// The order ledger's answer to the end of an attempt.
///
/// Its `Display` form is the message for the instance that reported the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFinish {
    /// The outcome is recorded, or an outcome already was.
    Recorded,
    /// The ledger has no record of the order.
    NoSuchOrder,
    /// The attempt is not the current one; nothing changed.
    WrongAttempt {
        /// The number of the current attempt.
        current: u32,
    },
}

impl fmt::Display for OrderFinish {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Recorded => formatter.write_str("the order's outcome is recorded"),
            Self::NoSuchOrder => {
                formatter.write_str("cannot finish the order: no order with this key is recorded")
            }
            Self::WrongAttempt { current } => write!(
                formatter,
                "cannot finish the order: only the current attempt, {current}, may be finished"
            ),
        }
    }
}
