//! Why an item is not queued.

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
        /// When there should be room again.
        retry_after: time::Duration,
    },
    /// The deadline has passed.
    #[snafu(display("cannot queue the request: its deadline has passed; allow it more time"))]
    DeadlinePassed,
}
