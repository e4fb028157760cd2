//! Automatic membership changes.

use std::cmp;
use std::time;

use crate::driver;
use crate::member;

/// A voter that is silent for this part of the time after which it can be replaced may be lost.
const DOUBT_DIVISOR: u32 = 4;

/// Plans membership changes that add joiners and give up failed members, one change at a time.
///
/// Silence does not tell a member that is lost from one that is frozen or cut off. A silent voter therefore only becomes
/// a learner, which keeps its data folder and is promoted again once it answers. A member is removed only if its data
/// folder is known to be lost, if it announces that it stops while it has a successor, or if it is a learner that has
/// been silent for a retention time.
///
/// A member that lost its data folder and returns under its old name is removed under its old
/// identity before it is added again, so that it never votes twice. A learner takes the place of a silent voter instead
/// of being added beside it: otherwise voters that ended for good add up as leaders change.
#[derive(Debug, Clone)]
pub struct MembershipPlanner {
    target_voters: usize,
    succession: time::Duration,
    retention: time::Duration,
}

impl MembershipPlanner {
    /// Creates a planner for a group of at least `target_voters` voters.
    ///
    /// A voter can be replaced by a learner after the leader has received nothing from it for `succession`. A learner is
    /// removed after a silence of `retention`, or before if more than `target_voters` learners are silent.
    #[must_use]
    pub fn new(
        target_voters: usize,
        succession: time::Duration,
        retention: time::Duration,
    ) -> Self {
        Self {
            target_voters,
            succession,
            retention,
        }
    }

    /// Returns the next change that the leader should propose, given its own status.
    #[must_use]
    pub fn next_change(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        Self::replaced_member(status)
            .or_else(|| self.leaving_member(status))
            .or_else(|| self.surplus_voter(status))
            .or_else(|| self.caught_up_learner(status))
            .or_else(|| self.superseded_voter(status))
            .or_else(|| Self::unknown_joiner(status))
            .or_else(|| self.expired_learner(status))
    }

    /// Plans the removal of a member whose name a joiner with another identity now has.
    fn replaced_member(status: &driver::LogStatus) -> Option<member::MembershipChange> {
        let replaced = |report: &&driver::MemberReport| {
            let profile = &report.member.profile;
            let returned = status.joiners.iter().any(|joiner| {
                joiner.endpoint.name == profile.endpoint.name && joiner.id != profile.id
            });
            returned && profile.id != status.profile.id
        };
        let report = status.members.iter().find(replaced)?;
        Some(member::MembershipChange::Remove(report.member.profile.id))
    }

    /// Plans the removal of a member that stops while enough other voters remain, or can be replaced
    /// by a learner.
    ///
    /// A voter that has a successor must not count in a quorum after its end; without one, it is
    /// expected to return.
    fn leaving_member(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        let has_surplus = voters(status).count() > self.target_voters;
        let is_needed = |report: &&driver::MemberReport| {
            report.member.standing == member::VotingStatus::Voter && !has_surplus
        };
        let mut leaving = status.members.iter().filter(|report| report.leaving);
        if let Some(report) = leaving.clone().find(|report| !is_needed(report)) {
            return Some(member::MembershipChange::Remove(report.member.profile.id));
        }
        let successor = self.promotable_learner(status)?;
        let removed = leaving.next()?.member.profile.id;
        Some(member::MembershipChange::Replace {
            removed,
            promoted: successor.member.profile.id,
        })
    }

    /// Plans the demotion of the oldest voter when each voter of the target has a successor.
    ///
    /// All replaced voters may end at the same time without notice; the others must be a majority.
    fn superseded_voter(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        if voters(status).count() < 2 * self.target_voters {
            return None;
        }
        let report = voters(status).find(|report| report.member.profile.id != status.profile.id)?;
        Some(member::MembershipChange::Demote(report.member.profile.id))
    }

    /// Plans the removal of the learner that has been silent for longest, if it is unlikely to return or too many are
    /// silent.
    fn expired_learner(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        let silent = status.members.iter().filter(|report| {
            report.member.standing == member::VotingStatus::Learner
                && self.is_silent_for(report, self.succession)
        });
        let count = silent.clone().count();
        let report = silent.max_by_key(|report| report.silence)?;
        let has_expired = count > self.target_voters || self.is_silent_for(report, self.retention);
        has_expired.then_some(member::MembershipChange::Remove(report.member.profile.id))
    }

    /// Plans the demotion of a silent voter that a complete group does not need.
    ///
    /// As a learner, it counts in no quorum and keeps its data folder; it is promoted if it returns.
    fn surplus_voter(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        if voters(status).count() <= self.target_voters {
            return None;
        }
        let most_silent = most_silent_voter(status)?;
        let is_silent = self.is_silent_for(most_silent, self.succession);
        is_silent.then_some(member::MembershipChange::Demote(
            most_silent.member.profile.id,
        ))
    }

    /// Plans the promotion of a learner, in the place of a silent voter if there is one.
    ///
    /// While it is not clear whether a voter of a complete group returns, none is added.
    fn caught_up_learner(&self, status: &driver::LogStatus) -> Option<member::MembershipChange> {
        let promoted = self.promotable_learner(status)?.member.profile.id;
        if voters(status).count() < self.target_voters {
            return Some(member::MembershipChange::Promote(promoted));
        }
        let most_silent = most_silent_voter(status)?;
        if self.is_silent_for(most_silent, self.succession) {
            let demoted = most_silent.member.profile.id;
            return Some(member::MembershipChange::Exchange { demoted, promoted });
        }
        let own_id = status.profile.id;
        let is_unheard =
            voters(status).any(|report| !report.heard && report.member.profile.id != own_id);
        let is_doubtful = is_unheard || self.is_doubtful(most_silent);
        (!is_doubtful).then_some(member::MembershipChange::Promote(promoted))
    }

    /// Returns a learner that has caught up and may not be lost, unless it is a demoted voter of a full
    /// group.
    fn promotable_learner<'a>(
        &self,
        status: &'a driver::LogStatus,
    ) -> Option<&'a driver::MemberReport> {
        let has_room = voters(status).count() < 2 * self.target_voters - 1;
        // A learner after a voter in the list is newer; the voter is demoted in its place.
        let oldest = status.members.iter().position(|report| {
            report.member.standing == member::VotingStatus::Voter
                && report.member.profile.id != status.profile.id
        });
        let learners = status.members.iter().enumerate().filter(|(_, report)| {
            report.member.standing == member::VotingStatus::Learner
                && !report.leaving
                && !self.is_doubtful(report)
                && is_caught_up(report)
        });
        let mut learners =
            learners.filter(|(position, _)| has_room || oldest.is_some_and(|at| at < *position));
        Some(learners.next()?.1)
    }

    fn unknown_joiner(status: &driver::LogStatus) -> Option<member::MembershipChange> {
        let known = |joiner: &&member::MemberProfile| {
            status
                .members
                .iter()
                .any(|report| report.member.profile.endpoint.name == joiner.endpoint.name)
        };
        let joiner = status.joiners.iter().find(|joiner| !known(joiner))?;
        Some(member::MembershipChange::AddLearner(joiner.clone()))
    }

    /// Returns whether the member has been silent for the duration, and has had the time to answer
    /// this leader.
    fn is_silent_for(&self, report: &driver::MemberReport, duration: time::Duration) -> bool {
        let unanswered = report.unanswered.unwrap_or_default();
        let silence = report.silence.unwrap_or_default();
        silence >= duration && unanswered >= self.doubt()
    }

    /// Returns whether the member may be lost.
    fn is_doubtful(&self, report: &driver::MemberReport) -> bool {
        report.silence.unwrap_or_default() >= self.doubt()
    }

    fn doubt(&self) -> time::Duration {
        self.succession / DOUBT_DIVISOR
    }
}

fn voters(status: &driver::LogStatus) -> impl Iterator<Item = &driver::MemberReport> {
    status
        .members
        .iter()
        .filter(|report| report.member.standing == member::VotingStatus::Voter)
}

fn most_silent_voter(status: &driver::LogStatus) -> Option<&driver::MemberReport> {
    voters(status).min_by_key(|report| cmp::Reverse(report.silence))
}

fn is_caught_up(report: &driver::MemberReport) -> bool {
    /// Maximum lag of a learner that is promoted; the leader checks its own limit again.
    const MAX_LAG_ENTRIES: u64 = 16;
    report.matched.is_some_and(|matched| matched.get() > 0)
        && report.lag_entries.is_some_and(|lag| lag <= MAX_LAG_ENTRIES)
}
