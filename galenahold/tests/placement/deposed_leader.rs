//! The deciding instance is killed or frozen while a load is under way.

use std::thread;
use std::time;

use galenahold_testkit::ledger;

use crate::fleet_setup;

/// How long a frozen leader stays frozen: well past its lease.
const FREEZE: time::Duration = time::Duration::from_secs(4);

#[test]
fn a_load_goes_on_when_the_leader_is_killed_and_engines_check_fencing() {
    kill_in_the_middle(true);
}

#[test]
fn a_load_goes_on_when_the_leader_is_killed_and_engines_ignore_fencing() {
    kill_in_the_middle(false);
}

#[test]
fn no_second_replica_is_loaded_when_the_leader_freezes_and_thaws() {
    let placement = fleet_setup::PlacementFleet::start(3, 1, false);
    let leader = placement.leader();
    let entry = 3;
    let asked = fleet_setup::ask(placement.caller(entry), "model-0", "flood mark");
    fleet_setup::wait_until("the order reaches an engine", || {
        placement.load_orders("model-0") > 0
    });
    placement.fleet.instances()[leader]
        .freeze()
        .expect("it runs");
    thread::sleep(FREEZE);
    placement.fleet.instances()[leader].thaw().expect("it runs");
    let answer = asked.join().expect("the caller ends");
    assert_eq!(answer.status, 200, "{}", answer.body);
    // A late order of the thawed instance would have come by now.
    thread::sleep(FREEZE / 2);
    assert_one_replica(&placement);
}

fn kill_in_the_middle(checks_fencing: bool) {
    let mut placement = fleet_setup::PlacementFleet::start(3, 1, checks_fencing);
    let leader = placement.leader();
    let asked = fleet_setup::ask(placement.caller(3), "model-0", "flood mark");
    fleet_setup::wait_until("the order reaches an engine", || {
        placement.load_orders("model-0") > 0
    });
    placement.fleet.instances_mut()[leader].kill();
    let answer = asked.join().expect("the caller ends");
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_one_replica(&placement);
}

fn assert_one_replica(placement: &fleet_setup::PlacementFleet) {
    let ledgers = placement.ledgers();
    assert_eq!(
        ledger::LedgerSnapshot::peak_replicas(&ledgers, "model-0"),
        1
    );
    placement.assert_memory_held();
}
