//! [`LogInput`].

use crate::driver;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

/// Called once with the result of a proposal.
pub(super) type ProposeReply<O> =
    Box<dyn FnOnce(Result<driver::CommittedOutcome<O>, driver::ProposeError>) + Send>;

/// Called once with the state or the reason why it cannot be read.
pub(super) type ReadReply<S> = Box<dyn FnOnce(Result<&S, driver::ReadError>) + Send>;

/// Called once with the position of a committed membership change.
pub(super) type ChangeReply = Box<dyn FnOnce(Result<log::LogPosition, driver::ChangeError>) + Send>;

/// What reaches the driving thread.
pub(super) enum LogInput<S: driver::StateMachine> {
    Message(Box<message::ConsensusMessage>),
    Propose {
        command: bytes::Bytes,
        reply: ProposeReply<S::Outcome>,
    },
    Read {
        linearizable: bool,
        reply: ReadReply<S>,
    },
    Change {
        change: member::MembershipChange,
        reply: ChangeReply,
    },
    Transfer {
        target: member::MemberId,
        reply: Box<dyn FnOnce(bool) + Send>,
    },
    SnapshotWritten {
        image: log::SnapshotImage,
        outcome: Result<(), storage::StorageError>,
    },
    Stop,
}

/// A read that waits until an index is applied.
pub(super) struct WaitingRead<S> {
    pub(super) index: log::LogIndex,
    pub(super) reply: ReadReply<S>,
}
