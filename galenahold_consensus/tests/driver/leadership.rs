//! Founding, proposing, reading and the change of leaders.

use galenahold_consensus::driver;

use crate::local_group;
use crate::text_machine;
use crate::waiting;

#[test]
fn three_empty_folders_found_one_group_and_commit() {
    let group = local_group::LocalGroup::found(&["a", "b", "c"]);
    let first = group.commit("one");
    let second = group.commit("two");
    assert!(second > first);
    for name in ["a", "b", "c"] {
        assert_eq!(group.await_lines(name, 2), ["one", "two"]);
    }
}

#[test]
fn single_voter_commits_alone() {
    let group = local_group::LocalGroup::found(&["a"]);
    group.commit("one");
    assert_eq!(group.await_lines("a", 1), ["one"]);
}

#[test]
fn acknowledged_command_survives_when_leader_stops() {
    let mut group = local_group::LocalGroup::found(&["a", "b", "c"]);
    group.commit("one");
    let (leader, _) = group.leader();
    group.stop(&leader);
    group.commit("two");
    let (_, handle) = group.leader();
    let lines = handle.read(local_group::PATIENCE, |machine| machine.lines.clone());
    assert_eq!(lines.expect("read"), ["one", "two"]);
}

#[test]
fn cut_leader_loses_its_lease_and_drops_its_proposals() {
    let group = local_group::LocalGroup::found(&["a", "b", "c"]);
    group.commit("one");
    let (name, old) = group.leader();
    group.network().cut(&name);
    let lost = old.propose(b"lost".to_vec(), local_group::PATIENCE);
    let kind = lost.expect_err("no quorum").kind();
    assert_eq!(kind, driver::ProposeErrorKind::Dropped);
    assert!(old.lease_valid_for().is_none());
    let read = old.read(local_group::PATIENCE, |machine| machine.lines.len());
    assert!(read.is_err());
    let new = waiting::until("another member leads", || {
        Some(group.leader()).filter(|(leader, _)| *leader != name)
    });
    group.network().heal();
    group.commit("two");
    let lines = new
        .1
        .read(local_group::PATIENCE, |machine| machine.lines.clone());
    assert_eq!(lines.expect("read"), ["one", "two"]);
    assert_eq!(group.await_lines(&name, 2), ["one", "two"]);
}

#[test]
fn follower_refuses_proposals_and_names_the_leader() {
    let group = local_group::LocalGroup::found(&["a", "b", "c"]);
    group.commit("one");
    let (leader, _) = group.leader();
    let follower = ["a", "b", "c"]
        .into_iter()
        .find(|name| *name != leader)
        .expect("follower");
    let refused = group
        .handle(follower)
        .propose(b"two".to_vec(), local_group::PATIENCE)
        .expect_err("not the leader");
    let driver::ProposeError::NotLeader { hint } = refused else {
        panic!("unexpected {refused:?}");
    };
    assert_eq!(hint.expect("hint").endpoint.name.as_str(), leader);
}

#[test]
fn too_long_command_is_refused_as_certainly_not_committed() {
    let group = local_group::LocalGroup::found(&["a"]);
    group.commit("one");
    let long = vec![b'x'; 2 * 1024 * 1024];
    let refused = group.handle("a").propose(long, local_group::PATIENCE);
    let kind = refused.expect_err("too long").kind();
    assert_eq!(kind, driver::ProposeErrorKind::TooLong);
    assert!(!kind.may_have_committed());
}

#[test]
fn proposal_after_stop_is_answered() {
    let mut group = local_group::LocalGroup::found(&["a"]);
    group.commit("one");
    let handle = group.handle("a");
    group.stop("a");
    let refused = handle.propose(b"two".to_vec(), local_group::PATIENCE);
    let kind = refused.expect_err("stopped").kind();
    assert_eq!(kind, driver::ProposeErrorKind::Stopped);
}

#[test]
fn proposals_under_way_are_all_answered_when_the_leader_stops() {
    const PROPOSALS: usize = 500;
    let mut group = local_group::LocalGroup::found(&["a", "b", "c"]);
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
    let lines = leader.read(local_group::PATIENCE, |machine| machine.lines.len());
    assert!(lines.expect("read") >= acknowledged + 2);
}

#[test]
fn proposal_is_answered_and_the_end_told_when_the_state_machine_panics() {
    let group = local_group::LocalGroup::found(&["a"]);
    group.commit("one");
    let handle = group.handle("a");
    let events = handle.subscribe();
    let (sender, answers) = crossbeam_channel::bounded(1);
    handle.propose_with(text_machine::TextMachine::FATAL, move |result| {
        let _ = sender.send(result.map(|committed| committed.position));
    });
    let answer = answers.recv_timeout(local_group::PATIENCE);
    let error = answer.expect("an answer").expect_err("no outcome");
    assert!(error.kind().may_have_committed());
    waiting::until("the end is told", || {
        let event = events.try_recv().ok()?;
        (event == driver::RoleEvent::Stopped).then_some(())
    });
    assert!(handle.lease_valid_for().is_none());
}

#[test]
fn leadership_moves_to_the_asked_voter() {
    let group = local_group::LocalGroup::found(&["a", "b", "c"]);
    group.commit("one");
    let (old, handle) = group.leader();
    let status = group.handle("c").status();
    let target = if old == "c" {
        group.handle("a").status().profile.clone()
    } else {
        status.profile.clone()
    };
    assert!(handle.transfer_leadership(target.id));
    waiting::until("the target leads", || {
        let (leader, _) = group.leader();
        (leader == target.endpoint.name.as_str()).then_some(())
    });
    group.commit("two");
}
