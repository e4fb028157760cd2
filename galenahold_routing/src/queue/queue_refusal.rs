//! The reasons to refuse an item.

use std::time;

use snafu::Snafu;

/// Why an item is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QueueRefusal {
    /// The team's part of the queue is full.
    #[snafu(display(
        "cannot queue the request: the team's part of the queue is full; send it again in {retry_after:?}"
    ))]
    Full {
        /// The time after which the queue is expected to have room.
        retry_after: time::Duration,
    },
    /// The item's deadline has passed.
    #[snafu(display("cannot queue the request: its deadline has passed; allow it more time"))]
    DeadlinePassed,
}
