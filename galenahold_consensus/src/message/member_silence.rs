//! How long the leader has not heard a member.

use std::time;

use serde::{Deserialize, Serialize};

use crate::member;

/// A member that has not answered the leader for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSilence {
    /// Identity of the member.
    pub member: member::MemberId,
    /// Time since the member's last contact with a leader, when the message was sent.
    pub duration: time::Duration,
}
