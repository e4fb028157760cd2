//! Scripted scenarios that random steps rarely produce.

use galenahold_consensus::core;
use galenahold_consensus::log;

use crate::member_state;
use crate::model_group;
use crate::model_step::ModelStep;

const MAX_STEPS: usize = 2_000;

/// Figure 8 of the Raft paper: an entry of an earlier term that is stored on a majority can still be
/// overwritten, so it must not be counted as committed.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut group = model_group::ModelGroup::new();
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 20 });
    let first = leader(&group, None).expect("leader");
    group.step(&ModelStep::Isolate { member: first });
    group.step(&ModelStep::Propose { member: 0 });
    let replaced = last(&group, first);
    step_until(&mut group, |group| leader(group, Some(first)).is_some());
    let second = leader(&group, Some(first)).expect("leader");
    let third = 3 - first - second;
    assert!(last(&group, second).term > replaced.term);

    group.step(&ModelStep::Isolate { member: second });
    step_until(&mut group, |group| last(group, third) == replaced);
    group.step(&ModelStep::DeliverAll { rounds: 1 });
    assert_eq!(last(&group, third), replaced);

    group.step(&ModelStep::Isolate { member: first });
    step_until(&mut group, |group| last(group, third).term > replaced.term);
    group.step(&ModelStep::Run { rounds: 50 });
    group.step(&ModelStep::Heal);
    group.step(&ModelStep::Run { rounds: 200 });
    assert!(group.checker.highest_committed() >= replaced.index);
}

/// A deposed leader that is still unaware of its successor receives late responses to its earlier
/// heartbeats. They must neither extend its lease nor confirm reads requested after these heartbeats
/// were sent.
#[test]
fn late_heartbeat_responses_neither_extend_a_lease_nor_confirm_a_later_read() {
    let mut group = model_group::ModelGroup::new();
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 20 });
    let old = leader(&group, None).expect("leader");
    group.take_in_flight();
    group.step(&ModelStep::Advance { millis: 60 });
    group.step(&ModelStep::DeliverAll { rounds: 1 });
    let late = group.take_in_flight();
    assert!(late.len() >= 2, "both followers respond to the heartbeat");

    group.step(&ModelStep::Isolate { member: old });
    while leader(&group, Some(old)).is_none() {
        let frozen = ModelStep::Freeze {
            member: old,
            millis: 10,
        };
        group.step(&frozen);
        group.step(&ModelStep::DeliverAll { rounds: 1 });
    }
    let before = group.checker.highest_committed();
    while group.checker.highest_committed() == before {
        group.step(&ModelStep::DeliverAll { rounds: 1 });
    }
    group.take_in_flight();
    group.step(&ModelStep::Heal);
    for answer in late {
        group.deliver(answer);
        group.check();
        let node = group.members[old].node.as_ref().expect("live member");
        assert_eq!(
            node.role(),
            core::NodeRole::Leader,
            "the deposed leader does not know its successor yet"
        );
        group.read_at(old);
    }
}

/// The network holds up heartbeats of a leader that loses its leadership and is elected again. The members answer them in
/// the new term, in which the leader must not take the answers for answers to its present heartbeats: their round is
/// higher than those of the new term, so that the leader would stay without a lease for as long as it had led before.
#[test]
fn leader_that_leads_again_ignores_answers_to_its_earlier_term() {
    assert_leader_that_leads_again_has_a_lease(model_group::ModelGroup::new());
}

/// The same while the other members are of an earlier version, whose answers do not name the leader's term.
#[test]
fn leader_that_leads_again_ignores_late_answers_of_earlier_versions() {
    let mut group = model_group::ModelGroup::new();
    group.echoes_no_terms = true;
    assert_leader_that_leads_again_has_a_lease(group);
}

fn assert_leader_that_leads_again_has_a_lease(mut group: model_group::ModelGroup) {
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 200 });
    let old = leader(&group, None).expect("leader");
    group.take_in_flight();
    group.step(&ModelStep::Advance { millis: 60 });
    let late = group.take_in_flight();
    assert!(late.len() >= 2, "heartbeats to both followers");

    group.step(&ModelStep::Isolate { member: old });
    step_until(&mut group, |group| leader(group, Some(old)).is_some());
    group.step(&ModelStep::Heal);
    group.step(&ModelStep::Run { rounds: 40 });
    group.step(&ModelStep::Transfer {
        member: 0,
        target: old,
    });
    step_until(&mut group, |group| leader(group, None) == Some(old));
    group.step(&ModelStep::Run { rounds: 10 });
    for heartbeat in late {
        group.deliver(heartbeat);
    }
    group.step(&ModelStep::Run { rounds: 40 });
    let member = &group.members[old];
    let node = member.node.as_ref().expect("live member");
    let now = member.clock(group.real_nanos);
    let lease_until = node.lease_until(now).expect("the member leads");
    assert!(lease_until > now, "the leader renews its lease");
}

/// A leader whose messages no longer arrive hears copies of earlier answers. It must step down although it is in
/// contact with a quorum, as no other member could lead otherwise.
#[test]
fn leader_that_hears_only_earlier_answers_steps_down() {
    let mut group = model_group::ModelGroup::new();
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 20 });
    let old = leader(&group, None).expect("leader");
    group.take_in_flight();
    group.step(&ModelStep::Advance { millis: 60 });
    group.step(&ModelStep::DeliverAll { rounds: 1 });
    let answers = group.take_in_flight();
    assert!(answers.len() >= 2, "both followers answer the heartbeat");
    let bound = 3 * member_state::ELECTION_TIMEOUT.as_millis() / 10;
    for _ in 0..bound {
        group.step(&ModelStep::Advance { millis: 10 });
        group.take_in_flight();
        for answer in &answers {
            group.deliver(answer.clone());
        }
    }
    assert_ne!(leader(&group, None), Some(old));
}

/// A voter restarts after granting its vote and receives the vote request of another candidate of the
/// same term. If the vote were not durable, the voter would vote twice and elect two leaders.
#[test]
fn restarted_voter_does_not_vote_twice_in_a_term() {
    let mut group = model_group::ModelGroup::new();
    group.step(&ModelStep::Advance { millis: 700 });
    let mut others = group.deliver_between(0, 2);
    others.retain(|outgoing| is_between(outgoing, 1, 2));
    for pre_vote in others {
        group.deliver(pre_vote);
    }
    group.step(&ModelStep::DeliverAll { rounds: 1 });
    let mut late = group.deliver_between(0, 2);
    late.retain(|outgoing| is_between(outgoing, 1, 2));
    assert_eq!(late.len(), 1, "the vote request of the other candidate");
    group.deliver_between(2, 0);
    assert_eq!(leader(&group, None), Some(0));
    group.check();

    group.step(&ModelStep::CrashAndRestart { member: 2 });
    group.step(&ModelStep::Freeze {
        member: 1,
        millis: 400,
    });
    for request in late {
        group.deliver(request);
    }
    group.deliver_between(2, 1);
    group.check();
    assert_ne!(leader(&group, None), Some(1));
}

/// A sole voter wins an election by its own vote and crashes before the vote is durable. It must not
/// have sent a message of the new term, as it may use that term again after the restart.
#[test]
fn sole_voter_that_crashes_in_its_election_sends_no_message_of_the_new_term() {
    let mut group = model_group::ModelGroup::new();
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 20 });
    while let Some(subject) = (0..3).find(|number| is_removable_voter(&group, *number)) {
        group.step(&ModelStep::Change {
            member: 0,
            subject,
            kind: 2,
        });
        group.step(&ModelStep::Run { rounds: 20 });
    }
    let voter = leader(&group, None).expect("the sole voter leads");
    let learner = ModelStep::Change {
        member: 0,
        subject: (voter + 1) % 3,
        kind: 0,
    };
    group.step(&learner);
    group.step(&ModelStep::Run { rounds: 20 });
    group.step(&ModelStep::CrashAndRestart { member: voter });
    group.take_in_flight();
    group.step(&ModelStep::CrashAtSync {
        member: voter,
        durable: false,
    });
    group.step(&ModelStep::Advance { millis: 900 });
    assert!(
        group.members[voter].node.is_none(),
        "the sole voter crashed in its election"
    );
    let durable_term = group.members[voter].disk.hard_state.term;
    let sent = group.take_in_flight();
    let sent_by_voter = sent
        .iter()
        .filter(|outgoing| outgoing.message.from == member_state::MemberState::profile(voter).id);
    for outgoing in sent_by_voter {
        assert!(outgoing.message.term <= durable_term);
    }
}

/// When a new leader overwrites an uncommitted membership entry of a deposed leader, the deposed
/// leader must return to the previous membership.
#[test]
fn overwritten_membership_change_is_rolled_back() {
    let mut group = model_group::ModelGroup::new();
    step_until(&mut group, |group| leader(group, None).is_some());
    group.step(&ModelStep::Run { rounds: 20 });
    let first = leader(&group, None).expect("leader");
    group.step(&ModelStep::Isolate { member: first });
    let removal = ModelStep::Change {
        member: 0,
        subject: (first + 1) % 3,
        kind: 2,
    };
    group.step(&removal);
    assert_eq!(voters(&group, first), 2);
    step_until(&mut group, |group| leader(group, Some(first)).is_some());
    group.step(&ModelStep::Run { rounds: 30 });
    group.step(&ModelStep::Heal);
    group.step(&ModelStep::Run { rounds: 100 });
    assert_eq!(voters(&group, first), 3);
}

/// Alternates between short advances of time and rounds of message delivery until `done` holds.
fn step_until(
    group: &mut model_group::ModelGroup,
    done: impl Fn(&model_group::ModelGroup) -> bool,
) {
    for _ in 0..MAX_STEPS {
        if done(group) {
            return;
        }
        group.step(&ModelStep::Advance { millis: 5 });
        if done(group) {
            return;
        }
        group.step(&ModelStep::DeliverAll { rounds: 1 });
    }
    panic!("the group did not reach the expected state within {MAX_STEPS} steps");
}

fn leader(group: &model_group::ModelGroup, except: Option<usize>) -> Option<usize> {
    let leads = |number: &usize| {
        let node = group.members[*number].node.as_ref();
        node.is_some_and(|node| node.role() == core::NodeRole::Leader)
    };
    (0..3).find(|number| Some(*number) != except && leads(number))
}

fn last(group: &model_group::ModelGroup, number: usize) -> log::LogPosition {
    let node = group.members[number].node.as_ref();
    node.expect("live member").last()
}

fn voters(group: &model_group::ModelGroup, number: usize) -> usize {
    let node = group.members[number].node.as_ref();
    node.expect("live member").membership().voters().count()
}

fn is_between(outgoing: &core::OutgoingMessage, from: usize, to: usize) -> bool {
    let id = |number| member_state::MemberState::profile(number).id;
    outgoing.message.from == id(from) && outgoing.message.to == Some(id(to))
}

/// Returns whether a member is a voter other than the leader in the leader's membership.
fn is_removable_voter(group: &model_group::ModelGroup, number: usize) -> bool {
    let id = member_state::MemberState::profile(number).id;
    let seen = leader(group, None).and_then(|leader| {
        let node = group.members[leader].node.as_ref()?;
        Some(leader != number && node.membership().is_voter(id))
    });
    seen.unwrap_or(false)
}
