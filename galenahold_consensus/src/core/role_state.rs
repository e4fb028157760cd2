//! Internal role of a member and its volatile state.

use std::collections;

use crate::core;
use crate::member;

/// A member's role with the state of that role; candidates hold the votes granted so far.
#[derive(Debug, Clone)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(collections::BTreeSet<member::MemberId>),
    Candidate(collections::BTreeSet<member::MemberId>),
    Leader(Box<core::LeaderState>),
    Retired,
}
