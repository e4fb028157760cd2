//! Data folders that are older or damaged stop the process with an error.

use std::fs;
use std::path;

use galenahold_testkit::harness;

use crate::fleet_setup;

/// Changes that make the log long enough to have a middle.
const CHANGES: usize = 20;

#[test]
fn older_copy_of_a_data_folder_stops_the_process_with_an_error() {
    let mut control = fleet_setup::ControlFleet::start();
    let victim = control.follower();
    let folder = control.fleet.instances()[victim].data_folder();
    let copy = control.fleet.folder().join("older-copy");
    control.fleet.instances_mut()[victim].kill();
    copy_folder(&folder, &copy);
    let instance = &mut control.fleet.instances_mut()[victim];
    instance.start().expect("a restart");
    instance.wait_ready(fleet_setup::LIMIT).expect("it is back");
    let keys = control.give_keys(fleet_setup::ENTRY, "newer", CHANGES);
    wait_caught_up(&control, victim);
    control.fleet.instances_mut()[victim].kill();
    fs::remove_dir_all(&folder).expect("the folder goes");
    copy_folder(&copy, &folder);
    let log = stopped_log(&mut control, victim);
    assert!(log.contains("older copy"), "{log}");
    control.assert_in_force(fleet_setup::ENTRY, &keys);
    // The folder stays out, also when the process is started again.
    let log = stopped_log(&mut control, victim);
    assert!(log.contains("later state"), "{log}");
}

#[test]
fn damage_in_the_middle_of_the_log_stops_the_process_naming_file_and_offset() {
    let mut control = fleet_setup::ControlFleet::start();
    control.give_keys(fleet_setup::ENTRY, "change", CHANGES);
    let victim = control.follower();
    wait_caught_up(&control, victim);
    let folder = control.fleet.instances()[victim].data_folder();
    control.fleet.instances_mut()[victim].kill();
    let segment = longest_segment(&folder);
    let mut bytes = fs::read(&segment).expect("the segment is read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(&segment, bytes).expect("the segment is written");
    let log = stopped_log(&mut control, victim);
    let name = segment.file_name().expect("a name").to_string_lossy();
    assert!(log.contains(&*name) && log.contains("at byte"), "{log}");
    control.give_key(fleet_setup::ENTRY, "without-it");
}

/// Waits until a member holds all of the log.
fn wait_caught_up(control: &fleet_setup::ControlFleet, instance: usize) {
    let name = control.fleet.instances()[instance].name().to_owned();
    harness::wait_within("the member has caught up", fleet_setup::LIMIT, || {
        let status = control.probe.status(fleet_setup::ENTRY).unwrap_or_default();
        let members = status["members"].as_array();
        members.is_some_and(|members| {
            let caught_up =
                |one: &serde_json::Value| one["name"] == *name && one["lag_entries"] == 0;
            members.iter().any(caught_up)
        })
    });
}

/// Starts an instance that must end with an error, and returns what it logged.
fn stopped_log(control: &mut fleet_setup::ControlFleet, instance: usize) -> String {
    let instance = &mut control.fleet.instances_mut()[instance];
    let before = instance.log().len();
    instance.start().expect("a start");
    let status = instance.wait_exit(fleet_setup::LIMIT);
    let log = instance.log()[before..].to_owned();
    let code = status.map(|status| status.code());
    assert!(
        code.is_some_and(|code| code.is_some_and(|code| code != 0)),
        "{code:?}: {log}"
    );
    log
}

fn longest_segment(folder: &path::Path) -> path::PathBuf {
    let entries = fs::read_dir(folder).expect("the folder is read");
    entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| {
            let name = path.file_name().map(|name| name.to_string_lossy());
            name.is_some_and(|name| name.starts_with("wal-"))
        })
        .max_by_key(|path| fs::metadata(path).map_or(0, |data| data.len()))
        .expect("there is a segment")
}

fn copy_folder(from: &path::Path, to: &path::Path) {
    fs::create_dir_all(to).expect("the folder is made");
    for entry in fs::read_dir(from).expect("the folder is read") {
        let path = entry.expect("an entry").path();
        let target = to.join(path.file_name().expect("a name"));
        fs::copy(&path, target).expect("the file is copied");
    }
}
