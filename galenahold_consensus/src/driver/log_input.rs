//! [`LogInput`].

use crate::driver;
use crate::log;
use crate::member;
use crate::message;
use crate::storage;

/// Answers a proposal.
pub(super) type ProposeReply<O> =
    driver::CommandReply<driver::CommittedOutcome<O>, driver::ProposeError>;

/// Answers a membership change.
pub(super) type ChangeReply = driver::CommandReply<log::LogPosition, driver::ChangeError>;

/// What reaches the driving thread.
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
    SnapshotWritten {
        image: log::SnapshotImage,
        outcome: Result<(), storage::StorageError>,
    },
    Stop,
}
