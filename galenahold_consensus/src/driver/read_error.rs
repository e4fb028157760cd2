//! Errors of reads.

use snafu::Snafu;

use crate::member;

/// An error from reading the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// This member is not the leader, or lost its leadership before the read was confirmed.
    #[snafu(display("reading the state: this member does not lead, ask the leader"))]
    NotLeader {
        /// Current leader, if known.
        hint: Option<member::MemberProfile>,
    },
    /// The inbox of the log thread is full.
    #[snafu(display("reading the state: the log is busy, try again later"))]
    Busy,
    /// The read was not answered in time, for instance because no quorum confirmed the leader.
    #[snafu(display("reading the state: no answer in time, try again"))]
    TimedOut,
    /// The log has stopped.
    #[snafu(display("reading the state: the log has stopped, ask another member"))]
    Stopped,
    /// The member has failed for good, usually because of its data folder.
    #[snafu(display("reading the state: the data folder has failed, ask another member"))]
    Storage,
}
