//! Membership of a group, with its quorum.

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

    /// Returns the number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the list after the change, or `None` if the change cannot be applied to this list.
    #[must_use]
    pub fn changed(&self, change: &member::MembershipChange) -> Option<Self> {
        let mut list = self.clone();
        match change {
            member::MembershipChange::AddLearner(profile) => list.add_learner(profile),
            member::MembershipChange::Promote(id) => list.promote(*id),
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
        let learner = self.members.iter_mut().find(|member| {
            member.profile.id == id && member.standing == member::VotingStatus::Learner
        });
        let Some(learner) = learner else {
            return false;
        };
        learner.standing = member::VotingStatus::Voter;
        true
    }

    fn remove(&mut self, id: member::MemberId) -> bool {
        let before = self.members.len();
        self.members.retain(|member| member.profile.id != id);
        self.members.len() < before && self.voters().next().is_some()
    }
}
