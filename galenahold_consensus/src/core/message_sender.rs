//! [`MessageSender`].

use crate::log;
use crate::member;

/// Who sent the message that is being handled.
#[derive(Debug, Clone)]
pub(super) struct MessageSender {
    pub(super) id: member::MemberId,
    pub(super) endpoint: member::MemberEndpoint,
    pub(super) term: log::Term,
    pub(super) durable: log::LogIndex,
}
