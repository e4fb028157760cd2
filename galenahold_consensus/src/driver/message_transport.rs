//! Interface to the network.

use crate::member;
use crate::message;

/// Sends messages to other members.
pub trait MessageTransport: Send + 'static {
    /// Sends a message without blocking; it may be lost, delayed, duplicated or reordered.
    fn send(&mut self, to: &member::MemberEndpoint, message: message::ConsensusMessage);
}
