//! [`MessageTransport`].

use crate::member;
use crate::message;

/// Carries messages to other members.
pub trait MessageTransport: Send + 'static {
    /// Sends a message without blocking; it may be lost, late, doubled or out of order.
    fn send(&mut self, to: &member::MemberEndpoint, message: message::ConsensusMessage);
}
