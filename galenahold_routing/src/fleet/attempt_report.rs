//! The result of an attempt as an observation of its backend server.

use std::time;

/// The result of an attempt, from which the scheduler judges the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReport {
    /// The server answered; the time runs from the send to the first byte of the answer.
    Answered(time::Duration),
    /// The server answered with an error.
    Failed,
    /// The server refused the call because it was full.
    Shed,
    /// The server does not hold the model or adapter, or another server now has its address.
    Misplaced,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The server did not answer in the time that other servers take.
    Slow,
    /// The caller gave the attempt up, which tells nothing about the server.
    Abandoned,
}
