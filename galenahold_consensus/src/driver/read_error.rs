//! [`ReadError`].

use snafu::Snafu;

use crate::member;

/// Why a read was not done.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// This member does not lead, or lost its leadership before the read was safe.
    #[snafu(display("reading the state: this member does not lead, ask the leader"))]
    NotLeader {
        /// The leader, where it is known.
        hint: Option<member::MemberProfile>,
    },
    /// Too many requests are under way.
    #[snafu(display("reading the state: the log is busy, try again later"))]
    Busy,
    /// No quorum has answered in time.
    #[snafu(display("reading the state: no answer in time, try again"))]
    TimedOut,
    /// The log has stopped.
    #[snafu(display("reading the state: the log has stopped, ask another member"))]
    Stopped,
    /// The data folder has failed.
    #[snafu(display("reading the state: the data folder has failed, ask another member"))]
    Storage,
}
