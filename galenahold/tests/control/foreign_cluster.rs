//! Addresses that instances of another cluster took over.

use std::fs;
use std::time;

use serde_json::{Value, json};

use crate::fleet_setup;

/// How long an entry instance is watched that must take nothing.
const WATCH_TIME: time::Duration = time::Duration::from_secs(6);

#[test]
fn clusters_whose_peers_swap_addresses_do_not_mix() {
    let (mut ours, mut theirs) = fleet_setup::ControlFleet::start_two();
    let our_keys = ours.give_keys(fleet_setup::ENTRY, "ours", 3);
    let their_keys = theirs.give_keys(fleet_setup::ENTRY, "theirs", 5);
    let swapped = ours.follower();
    let our_listener = listener(&ours, swapped);
    let their_listener = listener(&theirs, swapped);
    ours.fleet.instances_mut()[swapped].kill();
    theirs.fleet.instances_mut()[swapped].kill();
    move_instance(&mut ours, swapped, &their_listener);
    move_instance(&mut theirs, swapped, &our_listener);
    let our_late = ours.give_keys(swapped, "ours-late", 3);
    let their_late = theirs.give_keys(swapped, "theirs-late", 3);
    for (control, early, late, others) in [
        (&ours, &our_keys, &our_late, [&their_keys, &their_late]),
        (&theirs, &their_keys, &their_late, [&our_keys, &our_late]),
    ] {
        control.assert_in_force(fleet_setup::ENTRY, early);
        control.assert_in_force(fleet_setup::ENTRY, late);
        let ids = control.key_ids(fleet_setup::ENTRY);
        assert_eq!(ids.len(), early.len() + late.len());
        let foreign = others.into_iter().flatten();
        assert!(!foreign.into_iter().any(|key| ids.contains(&key.id)));
        let status = control.probe.status(fleet_setup::ENTRY).expect("a status");
        let members = status["members"].as_array().map(Vec::len);
        assert_eq!(members, Some(fleet_setup::CONTROL), "{status}");
        assert_eq!(status["joiners"], json!([]), "{status}");
    }
}

#[test]
fn entry_instance_takes_nothing_from_another_cluster_at_its_control_groups_addresses() {
    let (mut ours, mut theirs) = fleet_setup::ControlFleet::start_two();
    let their_keys = theirs.give_keys(fleet_setup::ENTRY, "theirs", 5);
    let before = ours.probe.revision(fleet_setup::ENTRY).expect("a look");
    for instance in 0..fleet_setup::CONTROL {
        ours.fleet.instances_mut()[instance].kill();
        theirs.fleet.instances_mut()[instance].kill();
    }
    let listeners = [0, 1, 2].map(|instance| listener(&ours, instance));
    for instance in 0..fleet_setup::CONTROL {
        take_over(&mut theirs, instance, &listeners);
    }
    theirs.give_key(0, "theirs-late");
    let watched = time::Instant::now();
    while watched.elapsed() < WATCH_TIME {
        let look = ours.probe.revision(fleet_setup::ENTRY).expect("a look");
        assert_eq!(look.revision, before.revision);
        for key in &their_keys {
            let answer = ours.read(fleet_setup::ENTRY, &key.key, "strange");
            let answer = answer.expect("an answer");
            assert!([401, 503].contains(&answer.status), "{answer:?}");
        }
    }
    assert!(!ours.fleet.instances()[fleet_setup::ENTRY].is_ready());
}

fn listener(control: &fleet_setup::ControlFleet, instance: usize) -> Value {
    control.fleet.instances()[instance].settings()["listen"]["peers"].clone()
}

/// Starts an instance that was killed at another address for peers, without a link before it.
fn move_instance(control: &mut fleet_setup::ControlFleet, instance: usize, address: &Value) {
    restart_with(control, instance, |settings| {
        settings["listen"]["peers"] = address.clone();
        settings["advertise"]["peers"] = address.clone();
    });
}

/// Starts the control instance that was killed where those of another fleet were, with its peers there.
fn take_over(control: &mut fleet_setup::ControlFleet, instance: usize, listeners: &[Value]) {
    let names: Vec<_> = control.fleet.instances()[..listeners.len()]
        .iter()
        .map(|process| json!(process.name()))
        .collect();
    restart_with(control, instance, |settings| {
        settings["listen"]["peers"] = listeners[instance].clone();
        settings["advertise"]["peers"] = listeners[instance].clone();
        for peer in settings["peers"].as_array_mut().expect("a list") {
            let position = names.iter().position(|name| peer["name"] == *name);
            peer["address"] = listeners[position.expect("a control instance")].clone();
        }
    });
}

fn restart_with(
    control: &mut fleet_setup::ControlFleet,
    instance: usize,
    change: impl FnOnce(&mut Value),
) {
    let process = &mut control.fleet.instances_mut()[instance];
    let mut settings = process.settings().clone();
    change(&mut settings);
    let folder = process.data_folder();
    let file = folder.with_file_name("settings.json");
    fs::write(file, settings.to_string()).expect("the settings are written");
    process.start().expect("a restart");
}
