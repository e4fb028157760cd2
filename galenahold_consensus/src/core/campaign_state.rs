//! Volatile state of a candidate.

use std::collections;

use crate::member;

/// The votes of a campaign, with what was known when it began.
#[derive(Debug, Clone)]
pub(super) struct CampaignState {
    /// Members that have granted their vote.
    pub(super) votes: collections::BTreeSet<member::MemberId>,
    /// Voters whose data folders were known to be lost when the campaign began.
    pub(super) lost: collections::BTreeSet<member::MemberId>,
}
