//! Tests of bootstrap, proposals, reads and leader changes.

use galenahold_consensus::driver;

use crate::local_group;
use crate::polling;
use crate::text_machine;

#[test]
fn three_empty_members_bootstrap_one_group_and_commit() {
    let group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    let first = group.commit("one");
    let second = group.commit("two");
    assert!(second > first);
    for name in ["a", "b", "c"] {
        assert_eq!(group.await_lines(name, 2), ["one", "two"]);
    }
}

#[test]
fn single_voter_commits_alone() {
    let group = local_group::LocalGroup::bootstrap(&["a"]);
    group.commit("one");
    assert_eq!(group.await_lines("a", 1), ["one"]);
}

#[test]
fn acknowledged_command_survives_when_leader_stops() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (leader, _) = group.leader();
    group.stop(&leader);
    group.commit("two");
    let (_, handle) = group.leader();
    let lines = handle.read(local_group::TIMEOUT, |machine| machine.lines.clone());
    assert_eq!(lines.expect("read"), ["one", "two"]);
}

#[test]
fn partitioned_leader_loses_its_lease_and_its_proposals_fail() {
    let group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (name, old) = group.leader();
    group.network().isolate(&name);
    let proposed = old.propose(b"lost".to_vec(), local_group::TIMEOUT);
    let kind = proposed
        .expect_err("a leader without a quorum cannot commit")
        .kind();
    assert_eq!(kind, driver::ProposeErrorKind::OutcomeUnknown);
    assert!(old.lease_valid_for().is_none());
    let read = old.read(local_group::TIMEOUT, |machine| machine.lines.len());
    assert!(read.is_err());
    let new = polling::until("another member becomes leader", || {
        Some(group.leader()).filter(|(leader, _)| *leader != name)
    });
    group.network().heal();
    group.commit("two");
    let lines = new
        .1
        .read(local_group::TIMEOUT, |machine| machine.lines.clone());
    assert_eq!(lines.expect("read"), ["one", "two"]);
    assert_eq!(group.await_lines(&name, 2), ["one", "two"]);
}

#[test]
fn follower_refuses_proposals_and_names_the_leader() {
    let group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (leader, _) = group.leader();
    let follower = ["a", "b", "c"]
        .into_iter()
        .find(|name| *name != leader)
        .expect("follower");
    let refused = group
        .handle(follower)
        .propose(b"two".to_vec(), local_group::TIMEOUT)
        .expect_err("a follower refuses proposals");
    let driver::ProposeError::NotLeader { hint } = refused else {
        panic!("unexpected {refused:?}");
    };
    assert_eq!(
        hint.expect("the error names the leader")
            .endpoint
            .name
            .as_str(),
        leader
    );
}

#[test]
fn oversized_command_is_refused_as_certainly_not_committed() {
    let group = local_group::LocalGroup::bootstrap(&["a"]);
    group.commit("one");
    let long = vec![b'x'; 2 * 1024 * 1024];
    let refused = group.handle("a").propose(long, local_group::TIMEOUT);
    let kind = refused.expect_err("the command is too large").kind();
    assert_eq!(kind, driver::ProposeErrorKind::TooLong);
    assert!(!kind.may_have_committed());
}

#[test]
fn proposal_after_stop_is_answered() {
    let mut group = local_group::LocalGroup::bootstrap(&["a"]);
    group.commit("one");
    let handle = group.handle("a");
    group.stop("a");
    let refused = handle.propose(b"two".to_vec(), local_group::TIMEOUT);
    let kind = refused.expect_err("the log has stopped").kind();
    assert_eq!(kind, driver::ProposeErrorKind::Stopped);
}

#[test]
fn pending_proposals_are_all_answered_when_the_leader_stops() {
    const PROPOSALS: usize = 500;
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (name, handle) = group.leader();
    let (sender, answers) = crossbeam_channel::unbounded();
    for number in 0..PROPOSALS {
        let sender = sender.clone();
        handle.propose_with(format!("command {number}"), move |result| {
            let _ = sender.send(result.map(|committed| committed.position));
        });
    }
    drop(sender);
    group.stop(&name);
    let answered: Vec<_> = answers.iter().collect();
    assert_eq!(answered.len(), PROPOSALS);
    let acknowledged = answered.iter().filter(|answer| answer.is_ok()).count();
    group.commit("after");
    let (_, leader) = group.leader();
    let lines = leader.read(local_group::TIMEOUT, |machine| machine.lines.len());
    assert!(lines.expect("read") >= acknowledged + 2);
}

#[test]
fn panic_in_the_state_machine_answers_the_proposal_and_reports_the_stop() {
    let group = local_group::LocalGroup::bootstrap(&["a"]);
    group.commit("one");
    let handle = group.handle("a");
    let events = handle.subscribe();
    let (sender, answers) = crossbeam_channel::bounded(1);
    handle.propose_with(text_machine::TextMachine::FATAL, move |result| {
        let _ = sender.send(result.map(|committed| committed.position));
    });
    let answer = answers.recv_timeout(local_group::TIMEOUT);
    let error = answer
        .expect("the proposal is answered")
        .expect_err("the command has no outcome");
    assert!(error.kind().may_have_committed());
    polling::until("the stop is reported", || {
        let event = events.try_recv().ok()?;
        (event == driver::RoleEvent::Stopped).then_some(())
    });
    assert!(handle.lease_valid_for().is_none());
}

#[test]
fn leadership_transfer_reaches_the_requested_voter() {
    let group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (old, handle) = group.leader();
    let status = group.handle("c").status();
    let target = if old == "c" {
        group.handle("a").status().profile.clone()
    } else {
        status.profile.clone()
    };
    assert!(handle.transfer_leadership(target.id));
    polling::until("the target becomes leader", || {
        let (leader, _) = group.leader();
        (leader == target.endpoint.name.as_str()).then_some(())
    });
    group.commit("two");
}
