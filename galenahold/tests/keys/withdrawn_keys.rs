//! A withdrawn key is dead everywhere within seconds.

use std::time;

use galenahold_testkit::{harness, proxy};

use crate::fleet_setup;

#[test]
fn key_withdrawn_while_streams_run_is_dead_everywhere_and_ends_them_with_an_error() {
    let keys = fleet_setup::KeyFleet::start();
    let streams = keys.start_streams();
    keys.withdraw(fleet_setup::ENTRY);
    let since = time::Instant::now();
    for instance in 0..keys.probe.instances() {
        keys.wait_dead(instance, since);
        keys.assert_dead(instance);
    }
    keys.assert_cancelled(streams);
}

#[test]
fn key_withdrawn_while_an_entry_instance_is_cut_off_is_dead_there_too() {
    let keys = fleet_setup::KeyFleet::start();
    let streams = keys.start_streams();
    keys.fleet.links().set_each(|from, to| {
        let touched = from == Some(fleet_setup::ENTRY) || to == fleet_setup::ENTRY;
        if touched || from.is_none() {
            proxy::LinkFault::cut()
        } else {
            proxy::LinkFault::pass()
        }
    });
    keys.withdraw(0);
    let since = time::Instant::now();
    for instance in 0..keys.probe.instances() {
        keys.wait_dead(instance, since);
        keys.assert_dead(instance);
    }
    keys.assert_cancelled(streams);
    keys.fleet.links().heal();
    harness::wait_within("the instance follows", fleet_setup::LIMIT, || {
        let answer = keys
            .caller(fleet_setup::ENTRY)
            .get("/foundry/records/healed");
        answer.is_ok_and(|answer| answer.status == 401)
    });
}

#[test]
fn key_withdrawn_right_before_the_leader_is_killed_stays_dead() {
    let mut keys = fleet_setup::KeyFleet::start();
    let leader = keys.probe.leader(fleet_setup::ENTRY).expect("a leader");
    keys.withdraw(fleet_setup::ENTRY);
    keys.fleet.instances_mut()[leader].kill();
    let since = time::Instant::now();
    let survivors = (0..keys.probe.instances()).filter(|one| *one != leader);
    for instance in survivors.clone() {
        keys.wait_dead(instance, since);
        keys.assert_dead(instance);
    }
    let restarted = &mut keys.fleet.instances_mut()[leader];
    restarted.start().expect("a restart");
    restarted
        .wait_ready(fleet_setup::LIMIT)
        .expect("it is back");
    for instance in 0..keys.probe.instances() {
        keys.assert_dead(instance);
    }
}
