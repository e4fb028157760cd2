//! Keys that are used as soon as they are acknowledged.

use std::time;

use galenahold_testkit::proxy;

use crate::fleet_setup;

/// Guards against the refusal of an acknowledged key by an instance that the change has not reached yet.
#[test]
fn key_is_served_at_once_by_an_instance_that_hears_of_it_late() {
    let control = fleet_setup::ControlFleet::start();
    let _service = control.start_service();
    let known = control.give_key(fleet_setup::ENTRY, "known");
    control.wait_served(fleet_setup::ENTRY, &known.key);
    let follower = control.follower();
    let late = |from: Option<usize>, to: usize| {
        if [from, Some(to)].contains(&Some(fleet_setup::ENTRY)) {
            proxy::LinkFault::pass().delay(time::Duration::from_millis(200))
        } else {
            proxy::LinkFault::pass()
        }
    };
    control.fleet.links().set_each(late);
    for number in 0..3 {
        let given = control.give_key(follower, &format!("new-{number}"));
        let answer = control.read(fleet_setup::ENTRY, &given.key, "new");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
