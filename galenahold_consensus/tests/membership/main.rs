//! Tests of automatic membership changes.

use std::time;

use galenahold_consensus::{core, driver, log, member};

const SILENCE: time::Duration = time::Duration::from_secs(5);
const SUCCESSION: time::Duration = time::Duration::from_secs(2);
const RETENTION: time::Duration = time::Duration::from_mins(10);

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
    driver::MembershipPlanner::new(5, SUCCESSION, RETENTION).next_change(status)
}

fn remove(id: u128) -> member::MembershipChange {
    member::MembershipChange::Remove(member::MemberId::new(id))
}

fn demote(id: u128) -> member::MembershipChange {
    member::MembershipChange::Demote(member::MemberId::new(id))
}

fn exchange(demoted: u128, promoted: u128) -> member::MembershipChange {
    member::MembershipChange::Exchange {
        demoted: member::MemberId::new(demoted),
        promoted: member::MemberId::new(promoted),
    }
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
fn silent_voter_is_never_removed_however_long_it_is_silent() {
    for silence in [SUCCESSION, SILENCE, RETENTION, 10 * RETENTION] {
        let mut complete = status(5);
        complete.members[2].silence = Some(silence);
        let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
        complete.members.push(learner);
        assert_eq!(next(&complete), Some(exchange(3, 9)));
        complete.members[5].lag_entries = Some(1_000);
        assert_eq!(next(&complete), None, "the learner has not caught up");

        let mut larger = status(6);
        assert_eq!(next(&larger), None);
        larger.members[5].silence = Some(silence);
        assert_eq!(next(&larger), Some(demote(6)));
    }
}

/// Guards against a lost voter that keeps its place beside a voter that was only frozen and has lost its own.
#[test]
fn voter_that_returns_takes_the_place_of_one_that_is_still_silent() {
    let mut status = status(5);
    status.members[2].silence = Some(2 * SUCCESSION);
    status.members[3].silence = Some(SUCCESSION);
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    assert_eq!(next(&status), Some(exchange(3, 9)));
    status.members[2].member.standing = member::VotingStatus::Learner;
    status.members[5].member.standing = member::VotingStatus::Voter;
    assert_eq!(next(&status), None, "members 3 and 4 are silent");
    status.members[2].silence = Some(time::Duration::ZERO);
    assert_eq!(next(&status), Some(exchange(4, 3)));
}

/// Guards against a list of members that grows by each machine that is lost.
#[test]
fn learner_that_is_silent_for_longest_is_removed_from_more_than_a_group_of_them() {
    let mut status = status(5);
    for id in 6..=10 {
        let silence = SILENCE * u32::try_from(id).expect("a small number");
        status
            .members
            .push(report(id, member::VotingStatus::Learner, silence));
    }
    assert_eq!(next(&status), None);
    status
        .members
        .push(report(11, member::VotingStatus::Learner, SILENCE));
    assert_eq!(next(&status), Some(remove(10)));
}

/// Guards against a member that waits for its removal because a learner that is lost counts as its successor.
#[test]
fn stopping_member_does_not_wait_for_a_learner_that_is_silent() {
    let mut status = status(5);
    assert!(status.is_needed(5));
    let learner = report(9, member::VotingStatus::Learner, time::Duration::ZERO);
    status.members.push(learner);
    assert!(!status.is_needed(5));
    status.members[5].silence = Some(SUCCESSION);
    assert!(status.is_needed(5));
}

/// Guards against voters that ended beside their successor, and with two more left no quorum within six seconds.
#[test]
fn silent_voter_beyond_the_target_is_demoted_before_it_is_removed() {
    let mut status = status(6);
    status.members[2].silence = Some(SUCCESSION / 2);
    assert_eq!(next(&status), None);
    status.members[2].silence = Some(SUCCESSION);
    assert_eq!(next(&status), Some(demote(3)));
    status.members[2].member.standing = member::VotingStatus::Learner;
    assert_eq!(next(&status), None);
    status.members[2].silence = Some(RETENTION);
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
    assert_eq!(next(&status), Some(demote(2)), "member 1 leads");
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
    assert_eq!(next(&status), Some(exchange(3, 9)));
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
    assert_eq!(next(&status), Some(exchange(3, 9)));
    status.members[2].silence = Some(SUCCESSION);
    assert_eq!(next(&status), Some(exchange(3, 9)));
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
