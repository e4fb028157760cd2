//! A control instance that loses its disk is replaced.

use std::fs;

use galenahold_testkit::harness;
use serde_json::{Value, json};

use crate::fleet_setup;

#[test]
fn replaced_instance_joins_as_a_new_member_and_a_second_loss_costs_nothing() {
    let mut control = fleet_setup::ControlFleet::start();
    let mut keys = control.give_keys(fleet_setup::ENTRY, "before", 5);
    let leader = control.leader();
    let lost = (leader + 1) % fleet_setup::CONTROL;
    let other = (leader + 2) % fleet_setup::CONTROL;
    harness::wait_within("one is safe to lose", fleet_setup::LIMIT, || {
        safe_to_lose(&control) == Some(1)
    });
    empty_folder(&mut control, lost);
    let name = control.fleet.instances()[lost].name().to_owned();
    harness::wait_within("the instance asks to join", fleet_setup::LIMIT, || {
        let status = control.probe.status(leader).unwrap_or_default();
        let joiners = status["joiners"].as_array();
        joiners.is_some_and(|joiners| joiners.iter().any(|joiner| joiner["name"] == *name))
    });
    harness::wait_within("nothing more is safe to lose", fleet_setup::LIMIT, || {
        safe_to_lose(&control) == Some(0)
    });
    assert_cannot_vote(&control, leader, other);
    keys.extend(control.give_keys(fleet_setup::ENTRY, "between", 5));
    let member = json!({
        "name": name,
        "address": control.fleet.instances()[lost].settings()["advertise"]["peers"],
    });
    change_members(&control, "add", &member);
    change_members(&control, "promote", &json!({ "name": name }));
    change_members(&control, "remove", &json!({ "name": name }));
    harness::wait_within("the repair is safe", fleet_setup::LIMIT, || {
        let status = control.probe.status(fleet_setup::ENTRY).unwrap_or_default();
        let members = status["members"].as_array().map_or(0, Vec::len);
        members == fleet_setup::CONTROL && status["safe_to_lose"] == 1
    });
    let second = control.leader();
    control.fleet.instances_mut()[second].kill();
    keys.extend(control.give_keys(fleet_setup::ENTRY, "after", 5));
    control.assert_in_force(fleet_setup::ENTRY, &keys);
}

/// Kills an instance and starts it again with an empty data folder.
fn empty_folder(control: &mut fleet_setup::ControlFleet, instance: usize) {
    let instance = &mut control.fleet.instances_mut()[instance];
    instance.kill();
    fs::remove_dir_all(instance.data_folder()).expect("the folder goes");
    fs::create_dir(instance.data_folder()).expect("the folder comes back");
    instance.start().expect("a restart");
}

/// Makes sure that the leader and an instance without its old disk are no quorum.
fn assert_cannot_vote(control: &fleet_setup::ControlFleet, leader: usize, other: usize) {
    let frozen = &control.fleet.instances()[other];
    frozen.freeze().expect("it runs");
    let body = json!({ "request": "alone", "team": "councils", "base": 1 });
    let answer = control.probe.post(leader, "/v1/keys", &body);
    assert!(
        !matches!(&answer, Ok(answer) if answer.status == 200),
        "{answer:?}"
    );
    frozen.thaw().expect("it runs");
    control.leader();
}

/// Changes the members, again and again until it is done.
fn change_members(control: &fleet_setup::ControlFleet, change: &str, body: &Value) {
    let path = format!("/v1/members/{change}");
    harness::wait_within(change, fleet_setup::LIMIT, || {
        let answer = control.probe.post(fleet_setup::ENTRY, &path, body);
        let answer = answer.expect("an answer");
        assert_ne!(answer.status, 504, "{answer:?}");
        answer.status == 200
    });
}

fn safe_to_lose(control: &fleet_setup::ControlFleet) -> Option<u64> {
    let status = control.probe.status(fleet_setup::ENTRY)?;
    status["safe_to_lose"].as_u64()
}
