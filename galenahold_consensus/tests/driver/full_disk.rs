//! Tests that a member whose disk refuses writes is suspended and resumes without a restart.

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_consensus::storage;

use crate::fault_backend;
use crate::local_group;
use crate::polling;

const NAMES: [&str; 3] = ["a", "b", "c"];

const FIVE_NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// How often the disk of each of the five members fills up.
const ROUNDS: usize = 3;

#[test]
fn leader_whose_disk_fills_resumes_as_follower_without_losing_or_repeating_commands() {
    let group = local_group::LocalGroup::bootstrap(&NAMES);
    for number in 0..20 {
        group.commit(&format!("command {number}"));
    }
    let (name, leader) = group.leader();
    let boot_events = leader.subscribe();
    group.disk(&name).fill_disk();
    let proposed = leader.propose(b"unsure".to_vec(), local_group::TIMEOUT);
    let kind = proposed.expect_err("not durable").kind();
    assert_eq!(kind, driver::ProposeErrorKind::OutcomeUnknown);
    assert!(leader.lease_valid_for().is_none());
    await_suspended(&leader);
    let (new, _) = group.leader();
    assert_ne!(new, name);
    group.commit("after");
    let hint = polling::until("the suspended member refers to the new leader", || {
        let hint = leader.status().leader.clone();
        hint.filter(|hint| hint.endpoint.name.as_str() == new)
    });
    let refused = leader.propose(b"refused".to_vec(), local_group::TIMEOUT);
    let expected = driver::ProposeError::NotLeader { hint: Some(hint) };
    assert_eq!(refused.expect_err("the member is suspended"), expected);
    let read = leader.read(local_group::TIMEOUT, |machine| machine.lines.len());
    assert!(matches!(read, Err(driver::ReadError::NotLeader { .. })));
    let local = leader.read_local(local_group::TIMEOUT, |machine| machine.lines.len());
    assert!(local.expect("the applied state is readable") >= 20);
    group.disk(&name).free_disk();
    await_resumed(&leader);
    group.commit("last");
    assert_agreement(&group);
    let failed = |event: driver::RoleEvent| event == driver::RoleEvent::Failed;
    assert!(!boot_events.try_iter().any(failed));
}

#[test]
fn follower_that_cannot_append_entries_is_suspended() {
    let record = fault_backend::RefusedWrite::Record("Entry");
    assert_follower_resumes(record, "writing", 1);
}

#[test]
fn follower_on_a_nearly_full_disk_is_suspended() {
    let max_bytes = 16;
    let larger = fault_backend::RefusedWrite::Larger(max_bytes);
    assert_follower_resumes(larger, "writing", 1);
}

#[test]
fn follower_that_cannot_store_watermarks_is_suspended() {
    let record = fault_backend::RefusedWrite::Record("Marks");
    assert_follower_resumes(record, "writing", 1);
}

#[test]
fn follower_that_cannot_create_a_segment_is_suspended() {
    // A snapshot every 100 entries starts a new segment.
    let file = fault_backend::RefusedWrite::Create("wal-");
    assert_follower_resumes(file, "creating", 150);
}

#[test]
fn entry_that_only_the_leader_could_store_is_not_acknowledged() {
    let group = local_group::LocalGroup::bootstrap(&NAMES);
    group.commit("one");
    let (name, leader) = group.leader();
    let mut followers = NAMES.into_iter().filter(|other| *other != name);
    let full = followers.next().expect("follower");
    let isolated = followers.next().expect("follower");
    let refused = fault_backend::RefusedWrite::Record("Entry");
    group.disk(full).refuse(Some(refused));
    group.network().isolate(isolated);
    let proposed = leader.propose(b"unsure".to_vec(), local_group::TIMEOUT);
    let kind = proposed.expect_err("one of three members has it").kind();
    assert_eq!(kind, driver::ProposeErrorKind::OutcomeUnknown);
    group.disk(full).refuse(None);
    group.network().heal();
    group.commit("two");
    assert_agreement(&group);
}

#[test]
fn voters_that_cannot_store_a_vote_elect_no_leader() {
    let group = local_group::LocalGroup::bootstrap(&NAMES);
    group.commit("one");
    let (leader, _) = group.leader();
    let voters: Vec<&str> = NAMES.into_iter().filter(|name| *name != leader).collect();
    let refused = fault_backend::RefusedWrite::Record("HardState");
    for name in &voters {
        group.disk(name).refuse(Some(refused));
    }
    group.network().isolate(&leader);
    for name in &voters {
        await_suspended(&group.handle(name));
    }
    for name in &voters {
        assert!(group.handle(name).lease_valid_for().is_none());
    }
    for name in &voters {
        group.disk(name).refuse(None);
    }
    polling::until("the voters elect a leader", || {
        let leads = |name: &&str| group.handle(name).lease_valid_for().is_some();
        voters.iter().any(leads).then_some(())
    });
    group.network().heal();
    group.commit("two");
    assert_agreement(&group);
}

#[test]
fn member_that_cannot_write_its_snapshot_goes_on_and_writes_it_later() {
    let mut group = local_group::LocalGroup::bootstrap(&NAMES);
    let name = follower(&group);
    let disk = group.disk(name).clone();
    disk.refuse(Some(fault_backend::RefusedWrite::Create("draft-snapshot")));
    for number in 0..120 {
        group.commit(&format!("command {number}"));
    }
    polling::until("a snapshot is refused", || {
        (disk.refusals() > 0).then_some(())
    });
    group.commit("after the refusal");
    let handle = group.handle(name);
    assert_agreement(&group);
    assert_eq!(handle.status().suspension, None);
    assert_eq!(handle.status().snapshot, None);
    disk.refuse(None);
    polling::until("the snapshot is written", || handle.status().snapshot);
    group.stop(name);
    let opened = storage::LogStore::open(
        storage::FileBackend,
        &group.data_folder(name),
        storage::StoreSettings::default(),
        &member::MemberName::new(name),
        member::MemberId::new(0),
    );
    let boot = opened.expect("open").store.identity().boot;
    assert_eq!(boot, 2, "the member was never suspended");
}

#[test]
fn follower_that_cannot_store_a_received_snapshot_installs_it_later() {
    assert_received_snapshot_is_installed(fault_backend::RefusedWrite::Rename("snapshot-"));
}

#[test]
fn received_snapshot_is_restored_if_only_the_log_could_not_be_reset() {
    assert_received_snapshot_is_installed(fault_backend::RefusedWrite::Record("Reset"));
}

fn assert_received_snapshot_is_installed(refused: fault_backend::RefusedWrite) {
    let group = local_group::LocalGroup::bootstrap(&NAMES);
    group.commit("first");
    let name = follower(&group);
    group.network().isolate(name);
    // No later snapshot of the leader, one every 100 entries, replaces the one whose write fails.
    for number in 0..250 {
        group.commit(&format!("command {number}"));
    }
    group.disk(name).refuse(Some(refused));
    group.network().heal();
    let handle = group.handle(name);
    await_suspended(&handle);
    group.disk(name).refuse(None);
    await_resumed(&handle);
    assert_agreement(&group);
    polling::until("the status shows the received snapshot", || {
        handle.status().snapshot
    });
}

#[test]
fn joiner_that_cannot_store_its_group_joins_later() {
    let mut group = local_group::LocalGroup::bootstrap(&NAMES);
    group.commit("one");
    let handle = group.start("d");
    let refused = fault_backend::RefusedWrite::Rename("identity");
    group.disk("d").refuse(Some(refused));
    let joiner = polling::until("the new member asks to join", || {
        let (_, leader) = group.leader();
        leader.status().joiners.first().cloned()
    });
    polling::until("the joiner is added as a learner", || {
        let (_, leader) = group.leader();
        leader
            .add_learner(joiner.clone(), local_group::TIMEOUT)
            .ok()
    });
    await_suspended(&handle);
    assert_eq!(handle.status().cluster, None);
    group.disk("d").refuse(None);
    await_resumed(&handle);
    assert_eq!(group.await_lines("d", 1), ["one"]);
}

/// Guards against members that cannot catch up or vote any more after their disks were full in turn.
#[test]
fn group_goes_on_while_the_disks_of_all_members_fill_up_in_turn() {
    let group = local_group::LocalGroup::bootstrap(&FIVE_NAMES);
    group.commit("first");
    for round in 0..ROUNDS {
        for name in FIVE_NAMES {
            commit_on_full_disk(&group, name, round);
        }
    }
    assert_all_resume(&group);
}

/// Guards against a group that has no leader any more after each leader's disk was full.
#[test]
fn group_goes_on_while_the_disk_of_each_leader_fills_up() {
    let group = local_group::LocalGroup::bootstrap(&FIVE_NAMES);
    group.commit("first");
    for round in 0..ROUNDS * FIVE_NAMES.len() {
        let (leader, _) = group.leader();
        commit_on_full_disk(&group, &leader, round);
    }
    assert_all_resume(&group);
}

/// Commits more than a snapshot's worth of commands in two rounds while a disk is full.
fn commit_on_full_disk(group: &local_group::LocalGroup, name: &str, round: usize) {
    let disk = group.disk(name);
    disk.fill_disk();
    for number in 0..12 {
        group.commit(&format!(
            "command {number} with the disk of {name} full for the {round}. time"
        ));
    }
    disk.free_disk();
}

/// Expects that all members take part again and that the group commits.
fn assert_all_resume(group: &local_group::LocalGroup) {
    group.commit("after the last disk has room");
    for name in FIVE_NAMES {
        await_resumed(&group.handle(name));
        assert_eq!(group.handle(name).status().failure, None);
    }
    group.commit("last");
    assert_agreement_of(group, &FIVE_NAMES);
}

/// Refuses a kind of write at a follower until that suspends it, and expects that it catches up.
fn assert_follower_resumes(refused: fault_backend::RefusedWrite, action: &str, commands: u32) {
    let group = local_group::LocalGroup::bootstrap(&NAMES);
    group.commit("first");
    let name = follower(&group);
    let handle = group.handle(name);
    group.disk(name).refuse(Some(refused));
    for number in 0..commands {
        group.commit(&format!("command {number}"));
    }
    let reason = await_suspended(&handle);
    assert!(reason.contains(action), "{reason}");
    group.commit("while suspended");
    assert_eq!(handle.status().failure, None);
    group.disk(name).refuse(None);
    await_resumed(&handle);
    group.commit("last");
    assert_agreement(&group);
}

fn await_suspended(handle: &local_group::Handle) -> String {
    polling::until("the member is suspended", || {
        handle.status().suspension.as_deref().map(str::to_owned)
    })
}

fn await_resumed(handle: &local_group::Handle) {
    polling::until("the member has resumed", || {
        handle.status().suspension.is_none().then_some(())
    });
}

/// Expects that all members have applied the same commands, each as often as the leader.
fn assert_agreement(group: &local_group::LocalGroup) {
    assert_agreement_of(group, &NAMES);
}

fn assert_agreement_of(group: &local_group::LocalGroup, names: &[&str]) {
    let expected = polling::until("the leader answers a read", || {
        let (_, leader) = group.leader();
        let lines = leader.read(local_group::TIMEOUT, |machine| machine.lines.clone());
        lines.ok()
    });
    for name in names {
        group.await_same_lines(name, &expected);
    }
}

fn follower(group: &local_group::LocalGroup) -> &'static str {
    let (leader, _) = group.leader();
    let other = NAMES.into_iter().find(|name| *name != leader);
    other.expect("follower")
}
