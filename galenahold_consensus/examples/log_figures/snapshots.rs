//! Benchmark of writing, reading and transferring snapshots.

use std::path;
use std::thread;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::log;
use galenahold_consensus::member;
use galenahold_consensus::storage;

use crate::bench_group;
use crate::blob_machine;
use crate::quantiles;

const MEGABYTE: usize = 1024 * 1024;
const SIZES_MB: [usize; 3] = [1, 10, 50];
const REPEATS: usize = 7;
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Prints a line for each snapshot size.
pub(crate) fn measure(folder: &path::Path) {
    println!(
        "size MB  write p50 ms  open p50 ms  (max of {REPEATS})  transfer to a lagging member ms  longest commit ms"
    );
    for size_mb in SIZES_MB {
        measure_one(folder, size_mb);
    }
}

fn measure_one(folder: &path::Path, size_mb: usize) {
    let write = quantiles::Quantiles::new((0..REPEATS).map(|_| write(folder, size_mb)).collect());
    let open = quantiles::Quantiles::new((0..REPEATS).map(|_| open(folder, size_mb)).collect());
    let transfer = transfer(folder, size_mb);
    println!(
        "{size_mb:7}  {:12.1}  {:11.1}  ({:.1}, {:.1})  {:.0}  {:.1}",
        write.millis(50),
        open.millis(50),
        write.millis(100),
        open.millis(100),
        transfer.caught_up.as_secs_f64() * 1e3,
        transfer.longest_commit.as_secs_f64() * 1e3,
    );
}

fn image(size_mb: usize) -> log::SnapshotImage {
    let machine = blob_machine::BlobMachine::new(size_mb * MEGABYTE);
    log::SnapshotImage {
        meta: log::SnapshotMeta {
            position: log::LogPosition {
                term: log::Term::new(1),
                index: log::LogIndex::new(1),
            },
            membership: member::MembershipList::default(),
        },
        data: driver::StateMachine::snapshot(&machine).into(),
    }
}

fn open_store(folder: &path::Path) -> storage::OpenedStore<storage::FileBackend> {
    storage::LogStore::open(
        storage::FileBackend,
        folder,
        storage::StoreSettings::default(),
        &member::MemberName::new("figure"),
        member::MemberId::new(1),
    )
    .expect("open")
}

fn write(folder: &path::Path, size_mb: usize) -> time::Duration {
    let folder = tempfile::tempdir_in(folder).expect("temporary folder");
    let opened = open_store(folder.path());
    let image = image(size_mb);
    let started = time::Instant::now();
    opened.store.snapshots().save(&image).expect("save");
    started.elapsed()
}

fn open(folder: &path::Path, size_mb: usize) -> time::Duration {
    let folder = tempfile::tempdir_in(folder).expect("temporary folder");
    let opened = open_store(folder.path());
    opened
        .store
        .snapshots()
        .save(&image(size_mb))
        .expect("save");
    drop(opened);
    let mut machine = blob_machine::BlobMachine::new(0);
    let started = time::Instant::now();
    let opened = open_store(folder.path());
    let image = opened.recovered.snapshot.expect("snapshot");
    driver::StateMachine::restore(&mut machine, &image.data).expect("restore");
    let elapsed = started.elapsed();
    assert_eq!(machine.state_bytes(), size_mb * MEGABYTE);
    elapsed
}

struct TransferTimes {
    caught_up: time::Duration,
    longest_commit: time::Duration,
}

/// Disconnects a follower until the leader has taken a snapshot, then lets the follower catch up.
fn transfer(folder: &path::Path, size_mb: usize) -> TransferTimes {
    const SNAPSHOT_ENTRIES: u64 = 300;
    let group = bench_group::BenchGroup::bootstrap(folder, 3, size_mb * MEGABYTE, |builder| {
        builder
            .snapshot_entries(SNAPSHOT_ENTRIES)
            .retained_entries(1)
    });
    let leader = group.leader(None);
    let follower = (leader + 1) % 3;
    group.network.set_isolated(Some(group.name(follower)));
    let handle = group.handle(leader);
    let mut longest_commit = time::Duration::ZERO;
    let mut commit = || {
        let started = time::Instant::now();
        let committed = handle
            .propose(b"command".to_vec(), TIMEOUT)
            .expect("commit");
        longest_commit = longest_commit.max(started.elapsed());
        committed.position.index
    };
    while handle.status().snapshot.is_none() {
        commit();
    }
    let last = commit();
    let started = time::Instant::now();
    group.network.set_isolated(None);
    while group.handle(follower).status().applied < last {
        commit();
        thread::sleep(time::Duration::from_millis(1));
    }
    TransferTimes {
        caught_up: started.elapsed(),
        longest_commit,
    }
}
