//! Addresses that instances of another cluster took over.

use std::fs;

use serde_json::{Value, json};

use crate::fleet_setup;

#[test]
fn clusters_whose_peers_swap_addresses_do_not_mix() {
    let mut ours = fleet_setup::ControlFleet::start_cluster("ours");
    let mut theirs = fleet_setup::ControlFleet::start_cluster("theirs");
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

fn listener(control: &fleet_setup::ControlFleet, instance: usize) -> Value {
    control.fleet.instances()[instance].settings()["listen"]["peers"].clone()
}

/// Starts an instance that was killed at another address for peers, without a link before it.
fn move_instance(control: &mut fleet_setup::ControlFleet, instance: usize, address: &Value) {
    let process = &mut control.fleet.instances_mut()[instance];
    let mut settings = process.settings().clone();
    settings["listen"]["peers"] = address.clone();
    settings["advertise"]["peers"] = address.clone();
    let folder = process.data_folder();
    let file = folder.with_file_name("settings.json");
    fs::write(file, settings.to_string()).expect("the settings are written");
    process.start().expect("a restart");
}
