//! Internal role of a member and its volatile state.

use crate::core;

/// A member's role with the state of that role.
#[derive(Debug, Clone)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(core::CampaignState),
    Candidate(core::CampaignState),
    Leader(Box<core::LeaderState>),
    Retired,
}
