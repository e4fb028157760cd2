//! [`RoleState`].

use std::collections;

use crate::core;
use crate::member;

/// A member's role with what belongs to it.
#[derive(Debug, Clone)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(collections::BTreeSet<member::MemberId>),
    Candidate(collections::BTreeSet<member::MemberId>),
    Leader(Box<core::LeaderState>),
    Retired,
}
