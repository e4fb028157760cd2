//! Tests of opening a data folder again in the process whose write to it has failed.

use std::fs;

use galenahold_consensus::member;
use galenahold_consensus::storage;

use crate::fault_backend;
use crate::store_folder;

/// Small enough that each append after the first record goes to a new segment.
const SEGMENT_BYTES: u64 = 1;

type Folder = storage::MemberFolder<fault_backend::FaultBackend>;

#[test]
fn entries_of_a_failed_sync_are_gone_although_the_file_shows_them() {
    let (_folder, switch, mut member) = open(storage::StoreSettings::default());
    persist(&mut member, 1).expect("persist");
    switch.fail_syncs(true);
    persist(&mut member, 2).expect_err("the sync fails");
    member.close();
    switch.fail_syncs(false);
    let recovered = member.reopen().expect("reopen");
    assert_eq!(recovered.entries, [store_folder::entry(1)]);
    assert_eq!(member.identity().boot, 2);
    persist(&mut member, 2).expect("persist after reopening");
}

#[test]
fn failed_attempts_leave_no_segments_behind() {
    let settings = storage::StoreSettings {
        segment_bytes: SEGMENT_BYTES,
    };
    let (folder, switch, mut member) = open(settings);
    persist(&mut member, 1).expect("persist");
    switch.fail_syncs(true);
    persist(&mut member, 2).expect_err("the rotation fails");
    member.close();
    switch.fail_syncs(false);
    switch.refuse(Some(fault_backend::RefusedWrite::Rename("identity")));
    for _ in 0..5 {
        let error = member.reopen().expect_err("the identity is not written");
        assert_eq!(error.kind(), storage::StorageErrorKind::Io);
        let attempted_segment = 1;
        assert!(folder.files("wal-").len() <= 2 + attempted_segment);
    }
    switch.refuse(None);
    let recovered = member.reopen().expect("reopen");
    assert_eq!(recovered.entries, [store_folder::entry(1)]);
    persist(&mut member, 2).expect("persist after reopening");
    drop(member);
    let opened = folder.open().expect("a restart reads the folder");
    assert_eq!(opened.recovered.entries.len(), 2);
}

#[test]
fn segment_that_could_not_be_created_is_created_after_reopening() {
    let settings = storage::StoreSettings {
        segment_bytes: SEGMENT_BYTES,
    };
    let (_folder, switch, mut member) = open(settings);
    persist(&mut member, 1).expect("persist");
    switch.refuse(Some(fault_backend::RefusedWrite::Create("wal-")));
    persist(&mut member, 2).expect_err("no segment is created");
    member.close();
    member.reopen().expect_err("no segment is created");
    assert_eq!(switch.refusals(), 2);
    switch.refuse(None);
    let recovered = member.reopen().expect("reopen");
    assert_eq!(recovered.entries, [store_folder::entry(1)]);
}

#[test]
fn full_disk_keeps_the_folder_closed_and_its_lock_free() {
    let (folder, switch, mut member) = open(storage::StoreSettings::default());
    switch.fill_disk();
    persist(&mut member, 1).expect_err("the disk is full");
    member.close();
    let error = member.reopen().expect_err("the disk is still full");
    assert_eq!(error.kind(), storage::StorageErrorKind::Io);
    let error = persist(&mut member, 1).expect_err("the folder is closed");
    assert_eq!(error.kind(), storage::StorageErrorKind::Io);
    let other = folder.open().expect("the lock is free");
    let error = member.reopen().expect_err("another process has the folder");
    assert_eq!(error.kind(), storage::StorageErrorKind::Locked);
    drop(other);
    switch.free_disk();
    member.reopen().expect("reopen");
}

#[test]
fn nearly_full_disk_keeps_the_folder_closed() {
    // Opening the folder takes less than 1 KiB, a batch of entries can take much more.
    let (folder, switch, mut member) = open(storage::StoreSettings::default());
    member.close();
    let max_bytes = 8 * 1024;
    switch.refuse(Some(fault_backend::RefusedWrite::Larger(max_bytes)));
    let error = member.reopen().expect_err("the disk is nearly full");
    assert_eq!(error.kind(), storage::StorageErrorKind::Io);
    assert!(folder.files("space-probe").is_empty());
    switch.refuse(None);
    member.reopen().expect("reopen");
}

#[test]
fn watermarks_of_a_failed_write_are_not_recovered() {
    let (_folder, switch, mut member) = open(storage::StoreSettings::default());
    switch.refuse(Some(fault_backend::RefusedWrite::Record("Marks")));
    let mark = galenahold_consensus::message::MemberWatermark {
        member: member::MemberId::new(9),
        boot: 1,
        incarnation: 2,
        term: galenahold_consensus::log::Term::new(3),
        matched: galenahold_consensus::log::LogIndex::ZERO,
        committed: galenahold_consensus::log::LogIndex::ZERO,
    };
    member
        .write(|store| store.persist_watermarks(vec![mark]))
        .expect_err("the watermarks are not written");
    member.close();
    assert!(member.reopen().expect("reopen").marks.is_empty());
    switch.refuse(None);
    member
        .write(|store| store.persist_watermarks(vec![mark]))
        .expect("watermarks are written again");
}

#[test]
fn folder_that_lost_durable_records_while_it_was_closed_is_corrupt() {
    let (folder, _, mut member) = open(storage::StoreSettings::default());
    persist(&mut member, 1).expect("persist");
    member.close();
    let segment = folder.newest_segment();
    let bytes = fs::read(&segment).expect("segment");
    fs::write(&segment, &bytes[..bytes.len() - 1]).expect("shorten the segment");
    let error = member.reopen().expect_err("a durable byte is missing");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
    fs::remove_file(&segment).expect("remove the segment");
    let error = member.reopen().expect_err("the segment is missing");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

#[test]
fn emptied_or_retired_folder_does_not_resume() {
    let (folder, _, mut member) = open(storage::StoreSettings::default());
    member
        .write(storage::LogStore::retire)
        .expect("mark as retired");
    let error = member.reopen().expect_err("the folder is retired");
    assert_eq!(error.kind(), storage::StorageErrorKind::Retired);
    fs::remove_file(folder.path().join("identity")).expect("remove the identity");
    let error = member.reopen().expect_err("the identity is missing");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
    assert!(folder.files("identity").is_empty());
}

fn open(
    settings: storage::StoreSettings,
) -> (
    store_folder::StoreFolder,
    fault_backend::FaultSwitch,
    Folder,
) {
    let folder = store_folder::StoreFolder::new();
    let backend = fault_backend::FaultBackend::default();
    let opened = storage::LogStore::open(
        backend.clone(),
        &folder.path(),
        settings,
        &member::MemberName::new(store_folder::StoreFolder::NAME),
        member::MemberId::new(7),
    );
    let store = opened.expect("open").store;
    (folder, backend.switch, storage::MemberFolder::Open(store))
}

fn persist(member: &mut Folder, index: u64) -> Result<(), storage::StorageError> {
    let output = store_folder::output(vec![store_folder::entry(index)]);
    member.write(|store| store.persist(&output))
}
