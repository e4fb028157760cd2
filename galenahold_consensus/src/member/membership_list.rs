//! Membership of a group, with its quorum.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::member;

/// The voters and learners of a group at a point of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    members: Vec<member::GroupMember>,
}

impl MembershipList {
    /// Creates a list in which every member is a voter.
    #[must_use]
    pub fn of_voters(profiles: Vec<member::MemberProfile>) -> Self {
        let members = profiles
            .into_iter()
            .map(|profile| member::GroupMember {
                profile,
                standing: member::VotingStatus::Voter,
            })
            .collect();
        Self { members }
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = &member::GroupMember> {
        self.members.iter()
    }

    /// Iterates over the IDs of the voters.
    pub fn voters(&self) -> impl Iterator<Item = member::MemberId> + '_ {
        self.members
            .iter()
            .filter(|member| member.standing == member::VotingStatus::Voter)
            .map(|member| member.profile.id)
    }

    /// Returns the member with the ID.
    #[must_use]
    pub fn get(&self, id: member::MemberId) -> Option<&member::GroupMember> {
        self.members.iter().find(|member| member.profile.id == id)
    }

    /// Returns whether the ID is that of a voter or learner.
    #[must_use]
    pub fn contains(&self, id: member::MemberId) -> bool {
        self.get(id).is_some()
    }

    /// Returns whether the ID is that of a voter.
    #[must_use]
    pub fn is_voter(&self, id: member::MemberId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `agrees` holds form a quorum: a majority, or exactly
    /// half of the voters if the data folder of a voter in the other half is known to be lost.
    ///
    /// Any two quorums share a voter, provided that `lost` was known before the first of the voters
    /// agreed: two disjoint halves would each need a voter that agreed after a voter of the other
    /// half was lost and was lost before that half began to agree.
    #[must_use]
    pub fn is_quorum(
        &self,
        agrees: impl Fn(member::MemberId) -> bool,
        lost: &collections::BTreeSet<member::MemberId>,
    ) -> bool {
        let (agreeing, others): (Vec<_>, Vec<_>) = self.voters().partition(|id| agrees(*id));
        let breaks_tie = || others.iter().any(|id| lost.contains(id));
        agreeing.len() > others.len() || (agreeing.len() == others.len() && breaks_tie())
    }

    /// Returns the list after the change, or `None` if the change cannot be applied to this list.
    #[must_use]
    pub fn changed(&self, change: &member::MembershipChange) -> Option<Self> {
        let mut list = self.clone();
        match change {
            member::MembershipChange::AddLearner(profile) => list.add_learner(profile),
            member::MembershipChange::Promote(id) => list.promote(*id),
            member::MembershipChange::Demote(id) => list.demote(*id),
            member::MembershipChange::Exchange { demoted, promoted } => {
                list.promote(*promoted) && list.demote(*demoted)
            }
            member::MembershipChange::Replace { removed, promoted } => {
                list.promote(*promoted) && list.remove(*removed)
            }
            member::MembershipChange::Remove(id) => list.remove(*id),
        }
        .then_some(list)
    }

    fn add_learner(&mut self, profile: &member::MemberProfile) -> bool {
        if self.contains(profile.id) {
            return false;
        }
        self.members.push(member::GroupMember {
            profile: profile.clone(),
            standing: member::VotingStatus::Learner,
        });
        true
    }

    fn promote(&mut self, id: member::MemberId) -> bool {
        self.move_from(
            id,
            member::VotingStatus::Learner,
            member::VotingStatus::Voter,
        )
    }

    fn demote(&mut self, id: member::MemberId) -> bool {
        self.move_from(
            id,
            member::VotingStatus::Voter,
            member::VotingStatus::Learner,
        ) && self.voters().next().is_some()
    }

    fn move_from(
        &mut self,
        id: member::MemberId,
        from: member::VotingStatus,
        to: member::VotingStatus,
    ) -> bool {
        let mut members = self.members.iter_mut();
        let member = members.find(|member| member.profile.id == id && member.standing == from);
        let Some(member) = member else {
            return false;
        };
        member.standing = to;
        true
    }

    fn remove(&mut self, id: member::MemberId) -> bool {
        let before = self.members.len();
        self.members.retain(|member| member.profile.id != id);
        self.members.len() < before && self.voters().next().is_some()
    }
}
