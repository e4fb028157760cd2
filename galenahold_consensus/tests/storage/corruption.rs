//! Tests that torn writes are truncated, while corruption of durable records is reported.

use std::fs;
use std::path;

use galenahold_consensus::storage;

use crate::store_folder;

#[test]
fn torn_write_at_any_byte_recovers_a_prefix_of_the_entries() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    for index in 1..=3 {
        let output = store_folder::output(vec![store_folder::entry(index)]);
        store.persist(&output).expect("persist");
    }
    let batch = (4..=6).map(store_folder::entry).collect();
    store
        .persist(&store_folder::output(batch))
        .expect("persist");
    drop(store);
    let segment = folder.newest_segment();
    let intact = fs::read(&segment).expect("segment");
    let other_files: Vec<(path::PathBuf, Vec<u8>)> = ["identity"]
        .iter()
        .map(|name| folder.path().join(name))
        .map(|path| (path.clone(), fs::read(path).expect("file")))
        .collect();
    let start_bytes = start_record_bytes();
    let mut entry_counts = Vec::new();
    for length in start_bytes..=intact.len() {
        for later in folder.files("wal-") {
            fs::remove_file(later).expect("remove");
        }
        fs::write(&segment, &intact[..length]).expect("truncate the segment");
        for (path, content) in &other_files {
            fs::write(path, content).expect("restore the file");
        }
        let opened = folder.open().expect("the torn write is truncated");
        let entries = opened.recovered.entries;
        let expected: Vec<_> = (1..=entries.len() as u64)
            .map(store_folder::entry)
            .collect();
        assert_eq!(
            entries, expected,
            "the segment was truncated to {length} bytes"
        );
        entry_counts.push(entries.len());
    }
    assert!(entry_counts.is_sorted());
    assert_eq!(
        (entry_counts[0], entry_counts[entry_counts.len() - 1]),
        (0, 6)
    );
}

#[test]
fn corruption_of_any_durable_byte_is_reported_with_file_and_offset() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    let first = store_folder::output(vec![store_folder::entry(1)]);
    store.persist(&first).expect("persist");
    let segment = folder.newest_segment();
    let durable_bytes = fs::read(&segment).expect("segment").len();
    let second = store_folder::output(vec![store_folder::entry(2)]);
    store.persist(&second).expect("persist");
    drop(store);
    let intact = fs::read(&segment).expect("segment");
    for position in 0..durable_bytes {
        let mut corrupted = intact.clone();
        corrupted[position] ^= 0x10;
        fs::write(&segment, corrupted).expect("corrupt the file");
        let error = folder.open().expect_err("the file is corrupt");
        assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
        let text = error.to_string();
        assert!(text.contains(segment.to_str().expect("path")), "{text}");
        assert!(text.contains("at byte"), "{text}");
    }
}

#[test]
fn corruption_before_the_newest_segment_fails_the_open() {
    let folder = store_folder::StoreFolder::new();
    let mut store = folder.open().expect("create").store;
    let first = store_folder::output(vec![store_folder::entry(1)]);
    store.persist(&first).expect("persist");
    drop(store);
    let segment = folder.newest_segment();
    drop(folder.open().expect("open again"));
    let mut bytes = fs::read(&segment).expect("segment");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&segment, bytes).expect("corrupt the file");
    let error = folder.open().expect_err("the file is corrupt");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

#[test]
fn record_of_a_newer_version_fails_the_open_and_is_not_modified() {
    const VERSION_OFFSET: usize = 4;
    const LENGTH_OFFSET: usize = 8;
    const CHECKSUM_OFFSET: usize = 12;
    const DURABLE_OFFSET: usize = 16;
    let folder = store_folder::StoreFolder::new();
    drop(folder.open().expect("create"));
    let segment = folder.newest_segment();
    let mut bytes = fs::read(&segment).expect("segment");
    bytes[VERSION_OFFSET] += 1;
    let mut checked = bytes[VERSION_OFFSET..CHECKSUM_OFFSET].to_vec();
    assert_eq!(checked.len(), LENGTH_OFFSET);
    checked.extend_from_slice(&bytes[DURABLE_OFFSET..]);
    let checksum = crc32fast::hash(&checked).to_le_bytes();
    bytes[CHECKSUM_OFFSET..DURABLE_OFFSET].copy_from_slice(&checksum);
    fs::write(&segment, &bytes).expect("write the newer record");
    let error = folder.open().expect_err("the record has a newer version");
    assert_eq!(error.kind(), storage::StorageErrorKind::Newer);
    assert_eq!(fs::read(&segment).expect("segment"), bytes);
}

#[test]
fn missing_segment_fails_the_open() {
    let folder = store_folder::StoreFolder::new();
    for _ in 0..3 {
        drop(folder.open().expect("open"));
    }
    let middle = folder.files("wal-")[1].clone();
    fs::remove_file(middle).expect("remove");
    let error = folder.open().expect_err("a segment is missing");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

#[test]
fn corrupt_snapshot_fails_the_open() {
    let folder = store_folder::StoreFolder::new();
    let store = folder.open().expect("create").store;
    let image = store_folder::image(5);
    store.snapshots().save(&image).expect("save");
    drop(store);
    let file = folder.files("snapshot-").pop().expect("snapshot");
    let mut bytes = fs::read(&file).expect("snapshot");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&file, bytes).expect("corrupt the file");
    let error = folder.open().expect_err("the file is corrupt");
    assert_eq!(error.kind(), storage::StorageErrorKind::Corrupt);
}

/// Returns the size of the start record in the segment of a new folder.
fn start_record_bytes() -> usize {
    let folder = store_folder::StoreFolder::new();
    drop(folder.open().expect("create"));
    fs::read(folder.newest_segment()).expect("segment").len()
}
