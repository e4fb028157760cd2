//! Tests of restarts, disk failures, snapshots, and emptied data folders and older copies of them.

use std::fs;
use std::path;

use galenahold_consensus::core;
use galenahold_consensus::driver;

use crate::local_group;
use crate::local_network;
use crate::polling;
use crate::text_machine;

#[test]
fn state_survives_a_restart_of_all_members_and_disk_use_stays_bounded() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    let expected: Vec<String> = (0..600).map(|number| format!("command {number}")).collect();
    for command in &expected {
        group.commit(command);
    }
    let last = group.await_lines("a", expected.len());
    assert_eq!(last, expected);
    for name in ["a", "b", "c"] {
        group.stop(name);
    }
    for name in ["a", "b", "c"] {
        let max_bytes_on_disk = 200_000;
        assert!(group.bytes_on_disk(name) < max_bytes_on_disk);
        group.start(name);
    }
    group.commit("after");
    for name in ["a", "b", "c"] {
        let lines = group.await_lines(name, expected.len() + 1);
        assert_eq!(lines[..expected.len()], expected);
    }
}

#[test]
fn leader_with_a_failed_sync_is_replaced_without_losing_acknowledged_commands() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (name, leader) = group.leader();
    let events = leader.subscribe();
    group.disk(&name).fail_syncs(true);
    let proposed = leader.propose(b"two".to_vec(), local_group::TIMEOUT);
    assert!(
        proposed
            .expect_err("a command that is not durable is not acknowledged")
            .kind()
            .may_have_committed()
    );
    polling::until("the member reports that it no longer leads", || {
        let event = events.try_recv().ok()?;
        matches!(event, driver::RoleEvent::Following { .. }).then_some(())
    });
    group.commit("three");
    let (new, handle) = group.leader();
    assert_ne!(new, name);
    let lines = handle.read(local_group::TIMEOUT, |machine| machine.lines.clone());
    let lines = lines.expect("read");
    assert_eq!(lines.first().map(String::as_str), Some("one"));
    assert_eq!(lines.last().map(String::as_str), Some("three"));
    group.stop(&name);
    group.start(&name);
    group.await_same_lines(&name, &lines);
}

#[test]
fn follower_with_a_full_disk_lowers_safe_to_lose() {
    let group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (leader, handle) = group.leader();
    let safe_to_lose = |count: usize| {
        polling::until("the leader updates its count of healthy voters", || {
            (handle.status().safe_to_lose == Some(count)).then_some(())
        });
    };
    safe_to_lose(1);
    let follower = ["a", "b", "c"]
        .into_iter()
        .find(|name| *name != leader)
        .expect("follower");
    group.disk(follower).fill_disk();
    group.commit("two");
    safe_to_lose(0);
    let status = group.handle(follower).status();
    let reason = status.suspension.clone();
    assert!(
        reason
            .expect("the suspended member states the reason")
            .contains("writing")
    );
    assert_eq!(status.failure, None);
}

#[test]
fn member_with_a_changed_address_receives_entries_again() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    group.stop("c");
    group.commit("two");
    group.start_at("c", "c moved");
    group.commit("three");
    assert_eq!(group.await_lines("c", 3), ["one", "two", "three"]);
}

#[test]
fn lagging_member_catches_up_from_a_snapshot() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("first");
    group.stop("c");
    let expected: Vec<String> = (0..400).map(|number| format!("command {number}")).collect();
    for command in &expected {
        group.commit(command);
    }
    group.start("c");
    let lines = group.await_lines("c", expected.len() + 1);
    assert_eq!(lines[1..], expected);
    let handle = group.handle("c");
    polling::until("the status of the member shows the snapshot", || {
        handle.status().snapshot
    });
}

#[test]
fn emptied_data_folder_asks_to_join_instead_of_bootstrapping() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let old = group.handle("a").status().profile.id;
    group.stop("a");
    fs::remove_dir_all(group.data_folder("a")).expect("remove the data folder");
    let handle = group.start("a");
    let joiner = polling::until("the member with the empty data folder asks to join", || {
        let (_, leader) = group.leader();
        leader.status().joiners.first().cloned()
    });
    assert_ne!(joiner.id, old);
    assert_eq!(handle.status().role, core::NodeRole::Unjoined);
    assert!(handle.status().cluster.is_none());
}

#[test]
fn folder_copy_from_before_a_restart_is_retired() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let name = follower(&group);
    group.stop(name);
    let copy = group.data_folder("copy");
    copy_folder(&group.data_folder(name), &copy);
    group.start(name);
    assert_copy_is_retired(&mut group, name);
}

#[test]
fn folder_copy_from_the_last_run_is_retired() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let name = follower(&group);
    group.await_lines(name, 1);
    copy_folder(&group.data_folder(name), &group.data_folder("copy"));
    assert_copy_is_retired(&mut group, name);
}

#[test]
fn folder_copy_of_a_leader_is_retired() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    group.commit("one");
    let (leader, _) = group.leader();
    copy_folder(&group.data_folder(&leader), &group.data_folder("copy"));
    assert_copy_is_retired(&mut group, &leader);
}

/// Commits further commands, replaces the member's folder by the copy and expects its retirement.
fn assert_copy_is_retired(group: &mut local_group::LocalGroup, name: &str) {
    for number in 0..20 {
        group.commit(&format!("command {number}"));
    }
    group.await_lines(name, 21);
    group.stop(name);
    fs::remove_dir_all(group.data_folder(name)).expect("remove the current folder");
    fs::rename(group.data_folder("copy"), group.data_folder(name))
        .expect("replace the folder by the copy");
    let handle = group.start(name);
    polling::until("the older copy is retired", || {
        (handle.status().role == core::NodeRole::Retired).then_some(())
    });
    group.stop(name);
    let again = group.builder(name).start(
        text_machine::TextMachine::default(),
        local_network::LocalNetwork::default(),
    );
    assert!(matches!(again, Err(driver::StartError::Storage { .. })));
}

fn follower(group: &local_group::LocalGroup) -> &'static str {
    let (leader, _) = group.leader();
    let other = ["a", "b", "c"].into_iter().find(|name| *name != leader);
    other.expect("follower")
}

fn copy_folder(from: &path::Path, to: &path::Path) {
    fs::create_dir(to).expect("create the copy");
    for entry in fs::read_dir(from).expect("list the folder") {
        let entry = entry.expect("entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("copy a file");
    }
}
