//! Message for the transport to send.

use crate::member;
use crate::message;

/// A consensus message and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Endpoint of the receiver.
    pub to: member::MemberEndpoint,
    /// Message to send.
    pub message: message::ConsensusMessage,
}
