//! Tests of folder ownership, locking, recovery and compaction.

use std::fs;

use galenahold_consensus::core;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::storage;

use crate::store_folder;

#[test]
fn content_survives_reopening_and_each_open_counts_a_boot() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    let hard_state = log::HardState {
        term: log::Term::new(4),
        voted_for: Some(member::MemberId::new(9)),
    };
    let output = core::NodeOutput {
        hard_state: Some(hard_state),
        ..store_folder::output(vec![store_folder::entry(1), store_folder::entry(2)])
    };
    store.persist(&output).expect("persist");
    let replacement = store_folder::entry_of_term(2, 2);
    let output = store_folder::output(vec![replacement.clone()]);
    store.persist(&output).expect("persist");
    store
        .join(member::ClusterId::new(3), member::MembershipList::default())
        .expect("join");
    drop(store);
    let opened = folder.open().expect("open again");
    assert_eq!(opened.recovered.hard_state, hard_state);
    assert_eq!(
        opened.recovered.entries,
        [store_folder::entry(1), replacement]
    );
    let identity = opened.store.identity();
    assert_eq!(identity.boot, 2);
    assert_eq!(identity.member, member::MemberId::new(7));
    assert_eq!(identity.cluster, Some(member::ClusterId::new(3)));
}

#[test]
fn folder_of_another_member_is_refused() {
    let folder = store_folder::StoreFolder::new();
    drop(folder.open().expect("create"));
    let error = folder
        .open_as("beta")
        .expect_err("the folder belongs to another member");
    assert_eq!(error.kind(), storage::StorageErrorKind::Foreign);
}

#[test]
fn folder_in_use_is_refused() {
    let folder = store_folder::StoreFolder::new();
    let opened = folder.open().expect("create");
    let error = folder.open().expect_err("the folder is locked");
    assert_eq!(error.kind(), storage::StorageErrorKind::Locked);
    drop(opened);
    folder.open().expect("the lock is released");
}

#[test]
fn retired_folder_is_refused() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    store.retire().expect("retire");
    drop(store);
    let error = folder.open().expect_err("the folder is retired");
    assert_eq!(error.kind(), storage::StorageErrorKind::Retired);
}

#[test]
fn log_without_identity_is_refused() {
    let folder = store_folder::StoreFolder::new();
    drop(folder.open().expect("create"));
    fs::remove_file(folder.path().join("identity")).expect("remove");
    let reopened = storage::LogStore::open(
        storage::FileBackend,
        &folder.path(),
        storage::StoreSettings::default(),
        &member::MemberName::new(store_folder::StoreFolder::NAME),
        member::MemberId::new(8),
    );
    let error = reopened.expect_err("the log has no identity");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

#[test]
fn identity_without_log_is_refused() {
    let folder = store_folder::StoreFolder::new();
    drop(folder.open().expect("create"));
    fs::remove_file(folder.newest_segment()).expect("remove");
    let error = folder.open().expect_err("the log is missing");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

#[test]
fn compaction_removes_segments_and_keeps_later_entries() {
    let folder = store_folder::StoreFolder::new();
    let settings = storage::StoreSettings { segment_bytes: 500 };
    let opened = folder.open_with(store_folder::StoreFolder::NAME, settings);
    let mut store = opened.expect("create").store;
    for index in 1..=50 {
        let output = store_folder::output(vec![store_folder::entry(index)]);
        store.persist(&output).expect("persist");
    }
    let before = folder.files("wal-").len();
    let image = store_folder::image(40);
    store.snapshots().save(&image).expect("save");
    store
        .compact_to(image.meta.position.index)
        .expect("compact");
    assert!(folder.files("wal-").len() < before / 2);
    drop(store);
    let recovered = folder.open().expect("open again").recovered;
    assert_eq!(recovered.snapshot, Some(image));
    let expected: Vec<_> = (41..=50).map(store_folder::entry).collect();
    assert_eq!(recovered.entries, expected);
}

#[test]
fn crash_after_installing_a_snapshot_discards_the_superseded_log() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    let old = (1..=9).map(|index| store_folder::entry_of_term(index, 0));
    store
        .persist(&store_folder::output(old.collect()))
        .expect("persist");
    let image = store_folder::image(5);
    store.snapshots().save(&image).expect("save");
    drop(store);
    let opened = folder.open().expect("open again");
    assert_eq!(opened.recovered.entries, []);
    let mut store = opened.store;
    let next = store_folder::output(vec![store_folder::entry(6)]);
    store.persist(&next).expect("persist");
    drop(store);
    let recovered = folder.open().expect("open a third time").recovered;
    assert_eq!(recovered.entries, [store_folder::entry(6)]);
}
