//! Sender of the consensus message that is being handled.

use crate::log;
use crate::member;

/// Sender of a received message, with the state that its header reported.
#[derive(Debug, Clone)]
pub(super) struct MessageSender {
    pub(super) id: member::MemberId,
    pub(super) endpoint: member::MemberEndpoint,
    pub(super) term: log::Term,
    pub(super) durable: log::LogIndex,
}
