//! Tests of automatic membership changes.

use std::time;

use galenahold_consensus::{core, driver, log, member};

const SILENCE: time::Duration = time::Duration::from_secs(5);
const SUCCESSION: time::Duration = time::Duration::from_secs(2);

fn profile(id: u128, name: &str) -> member::MemberProfile {
    member::MemberProfile {
        id: member::MemberId::new(id),
        endpoint: member::MemberEndpoint::new(name, name),
    }
}

fn report(
    id: u128,
    standing: member::VotingStatus,
    silence: time::Duration,
) -> driver::MemberReport {
    driver::MemberReport {
        member: member::GroupMember {
            profile: profile(id, &format!("m{id}")),
            standing,
        },
        matched: Some(log::LogIndex::new(10)),
        lag_entries: Some(0),
        silence: Some(silence),
        unanswered: Some(SILENCE),
        heard: true,
        leaving: false,
    }
}

/// Returns the status of a group with voters 1 to `voters`, as seen by its leader, member 1.
fn status(voters: u128) -> driver::LogStatus {
    let voter = member::VotingStatus::Voter;
    driver::LogStatus {
        profile: profile(1, "m1"),
        cluster: Some(member::ClusterId::new(1)),
        role: core::NodeRole::Leader,
        ready: true,
        lease: Some(time::Duration::from_secs(1)),
        term: log::Term::ZERO,
        leader: Some(profile(1, "m1")),
        commit: log::LogIndex::new(10),
        applied: log::LogIndex::new(10),
        last: log::LogPosition::default(),
        snapshot: None,
        members: (1..=voters)
            .map(|id| report(id, voter, time::Duration::ZERO))
            .collect(),
        removed: false,
        joiners: Vec::new(),
        safe_to_lose: None,
        suspension: None,
        failure: None,
    }
}

fn next(status: &driver::LogStatus) -> Option<member::MembershipChange> {
    driver::MembershipPlanner::new(5, SILENCE, SUCCESSION).next_change(status)
}

fn remove(id: u128) -> member::MembershipChange {
    member::MembershipChange::Remove(member::MemberId::new(id))
}

fn promote(id: u128) -> member::MembershipChange {
    member::MembershipChange::Promote(member::MemberId::new(id))
}

#[test]
fn complete_group_needs_no_change() {
    assert_eq!(next(&status(5)), None);
}

#[test]
fn joiner_is_added_as_a_learner() {
    let mut status = status(3);
    status.joiners.push(profile(9, "m9"));
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::AddLearner(profile(9, "m9")))
    );
}

#[test]
fn member_with_a_new_identity_is_removed_before_it_is_added_again() {
    let mut status = status(5);
    status.joiners.push(profile(9, "m3"));
    assert_eq!(next(&status), Some(remove(3)));
    status
        .members
        .retain(|report| report.member.profile.id != member::MemberId::new(3));
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::AddLearner(profile(9, "m3")))
    );
}

#[test]
fn learner_is_promoted_once_it_has_caught_up() {
    let mut status = status(4);
    let mut learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    learner.lag_entries = Some(1_000);
    status.members.push(learner);
    assert_eq!(next(&status), None);
    status.members[4].lag_entries = Some(0);
    assert_eq!(next(&status), Some(promote(9)));
}

#[test]
fn silent_voter_stays_while_no_learner_can_replace_it() {
    let mut status = status(5);
    status.members[2].silence = Some(SILENCE * 10);
    assert_eq!(next(&status), None);
}

#[test]
fn silent_voter_is_removed_once_a_live_learner_can_replace_it() {
    let mut status = status(5);
    status.members[2].silence = Some(SILENCE);
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    assert_eq!(next(&status), Some(remove(3)));
}

#[test]
fn silent_voter_beyond_the_target_is_removed() {
    let mut status = status(6);
    assert_eq!(next(&status), None);
    status.members[5].silence = Some(SILENCE);
    assert_eq!(next(&status), Some(remove(6)));
}

/// Guards against voters that ended beside their successor, and with two more left no quorum within six seconds.
#[test]
fn silent_voter_beyond_the_target_is_demoted_before_it_is_removed() {
    let mut status = status(6);
    status.members[2].silence = Some(SUCCESSION / 2);
    assert_eq!(next(&status), None);
    status.members[2].silence = Some(SUCCESSION);
    let demoted = member::MemberId::new(3);
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::Demote(demoted))
    );
    status.members[2].member.standing = member::VotingStatus::Learner;
    assert_eq!(next(&status), None);
    status.members[2].silence = Some(SILENCE);
    assert_eq!(next(&status), Some(remove(3)));
    status.members[2].silence = Some(time::Duration::ZERO);
    assert_eq!(next(&status), Some(promote(3)), "it has returned");
}

/// Guards against a member that has stopped for good and still counts in a quorum beside its successor.
#[test]
fn leaving_voter_is_removed_only_if_enough_other_voters_remain() {
    let mut status = status(5);
    status.members[2].leaving = true;
    assert_eq!(next(&status), None);
    let mut successor = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(successor.clone());
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::Replace {
            removed: member::MemberId::new(3),
            promoted: member::MemberId::new(9),
        })
    );
    successor.member.standing = member::VotingStatus::Voter;
    status.members[5] = successor;
    assert_eq!(next(&status), Some(remove(3)));
}

/// Guards against a group in which the machines that were all replaced are as many as their successors.
#[test]
fn oldest_voter_is_demoted_once_every_voter_has_a_successor() {
    let mut status = status(10);
    let demoted = member::MemberId::new(2);
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::Demote(demoted)),
        "member 1 leads"
    );
    status.members[1].member.standing = member::VotingStatus::Learner;
    assert_eq!(next(&status), None, "a demoted voter stays a learner");
    let newer = report(11, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(newer);
    assert_eq!(next(&status), Some(promote(11)));
}

/// Guards against voters that ended for good and add up beside their successors while leaders change.
#[test]
fn learner_takes_the_place_of_a_silent_voter() {
    let mut status = status(5);
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    assert_eq!(next(&status), Some(promote(9)));
    status.members[2].silence = Some(SUCCESSION / 2);
    assert_eq!(next(&status), None, "member 3 may be lost");
    status.members[2].silence = Some(time::Duration::ZERO);
    status.members[2].heard = false;
    assert_eq!(next(&status), None, "a new leader has not heard member 3");
    status.members[2].silence = Some(SUCCESSION);
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::Replace {
            removed: member::MemberId::new(3),
            promoted: member::MemberId::new(9),
        })
    );
}

/// Guards against a new leader that replaces a voter before the voter has had the time to answer it.
#[test]
fn voter_that_was_silent_before_the_term_is_replaced_unless_it_answers() {
    let mut status = status(5);
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    status.members[2].silence = Some(2 * SILENCE);
    status.members[2].unanswered = Some(time::Duration::ZERO);
    status.members[2].heard = false;
    assert_eq!(
        next(&status),
        None,
        "member 3 has not had the time to answer"
    );
    status.members[2].unanswered = Some(SUCCESSION / 4);
    assert_eq!(next(&status), Some(remove(3)));
    status.members[2].silence = Some(SUCCESSION);
    assert_eq!(
        next(&status),
        Some(member::MembershipChange::Replace {
            removed: member::MemberId::new(3),
            promoted: member::MemberId::new(9),
        })
    );
}

/// Guards against a group that lacks voters and waits for a silent one.
#[test]
fn learner_is_added_to_an_incomplete_group_beside_a_silent_voter() {
    let mut status = status(4);
    status.members[2].silence = Some(SUCCESSION / 2);
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    assert_eq!(next(&status), Some(promote(9)));
}
