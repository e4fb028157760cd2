//! [`OutgoingMessage`].

use crate::member;
use crate::message;

/// A message with its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Where it goes.
    pub to: member::MemberEndpoint,
    /// The message.
    pub message: message::ConsensusMessage,
}
