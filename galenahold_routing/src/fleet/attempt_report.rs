//! What an attempt showed of its backend server.

use std::time;

/// What an attempt showed of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReport {
    /// It answered; the time is from the send to the first byte of the answer.
    Answered(time::Duration),
    /// It answered that it failed.
    Failed,
    /// It refused since it was full.
    Shed,
    /// It does not hold the model or adapter, or another server has its address.
    Misplaced,
    /// No connection came about.
    Unreachable,
    /// The connection broke, or the answer was none.
    Broken,
    /// It did not answer in the time that others take.
    Slow,
    /// The attempt was given up for reasons of its caller; it shows nothing.
    Abandoned,
}
