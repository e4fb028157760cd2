//! All instances end at once after hundreds of changes.

use std::fs;
use std::time;

use crate::fleet_setup;

/// Changes before the end.
const CHANGES: usize = 300;
/// Bytes that a data folder may hold after so many small changes.
const MAX_FOLDER_BYTES: u64 = 1024 * 1024;

#[test]
fn instances_killed_together_after_hundreds_of_changes_come_back_with_all_of_them() {
    let mut control = fleet_setup::ControlFleet::start();
    let keys = control.give_keys(fleet_setup::ENTRY, "change", CHANGES);
    let last = keys.iter().map(|key| key.revision).max().expect("a key");
    for instance in control.fleet.instances_mut() {
        instance.kill();
    }
    let started = time::Instant::now();
    for instance in control.fleet.instances_mut() {
        instance.start().expect("a restart");
    }
    let ready = control.fleet.wait_ready(fleet_setup::LIMIT);
    ready.expect("all are ready");
    println!(
        "ready {:.0?} after {CHANGES} changes and a restart of all",
        started.elapsed()
    );
    control.wait_revision(last);
    control.assert_in_force(fleet_setup::ENTRY, &keys);
    for instance in &control.fleet.instances()[..fleet_setup::CONTROL] {
        let entries = fs::read_dir(instance.data_folder()).expect("the folder is read");
        let lengths =
            entries.filter_map(|entry| entry.ok()?.metadata().ok().map(|data| data.len()));
        let bytes: u64 = lengths.sum();
        println!("{}: {bytes} B on disk", instance.name());
        assert!(bytes <= MAX_FOLDER_BYTES, "{bytes} B");
    }
}
