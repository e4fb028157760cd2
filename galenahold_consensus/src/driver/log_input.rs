//! Inputs of the log thread and the replies that they carry.

use crate::driver;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

/// Reply to a proposal.
pub(super) type ProposeReply<O> =
    driver::CommandReply<driver::CommittedOutcome<O>, driver::ProposeError>;

/// Reply to a membership change.
pub(super) type ChangeReply = driver::CommandReply<log::LogPosition, driver::ChangeError>;

/// A message, request or notification in the inbox of the log thread.
pub(super) enum LogInput<S: driver::StateMachine> {
    Message(Box<message::ConsensusMessage>),
    Propose {
        command: bytes::Bytes,
        reply: ProposeReply<S::Outcome>,
    },
    Read {
        linearizable: bool,
        reply: driver::ReadReply<S>,
    },
    Change {
        change: member::MembershipChange,
        reply: ChangeReply,
    },
    Transfer {
        target: Option<member::MemberId>,
        started: crossbeam_channel::Sender<bool>,
    },
    Leave,
    SnapshotWritten {
        image: log::SnapshotImage,
        outcome: Result<(), storage::StorageError>,
    },
    Stop,
}
