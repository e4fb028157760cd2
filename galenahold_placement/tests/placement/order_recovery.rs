//! Handling of lost answers, changes of leader, and servers that restart or hold unexpected
//! replicas.

use std::time;

use galenahold_domain::{amount, placement};
use galenahold_placement::engine;

use crate::fleet_model::{FleetModel, LoadedOrder, artifact, model};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn fleet(checks_fencing: bool) -> FleetModel {
    FleetModel::new(vec![model("a", 60, &[]), model("b", 60, &[])]).with_server(
        "one",
        100,
        checks_fencing,
    )
}

#[test]
fn lost_answer_keeps_the_memory_reserved_until_the_repeat_is_answered() {
    let mut fleet = fleet(false);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.lose_order(0);
    fleet.report_waiting(&artifact("b"), 5);
    fleet.now += time::Duration::from_millis(500);
    fleet.step(engine::PlacementEvent::Tick);
    assert_eq!(fleet.log.len(), 1);
    assert!(fleet.orders.is_empty());
    fleet.run(5 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn frozen_order_keeps_its_memory_at_a_server_without_fencing_until_its_sender_ended() {
    let mut fleet = fleet(false);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.change_leader(SECOND);
    fleet.report_waiting(&artifact("a"), 0);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.run(60 * SECOND);
    assert_eq!(fleet.log.len(), 1);
    assert!(fleet.loaded_on(&artifact("b")).is_empty());
    fleet.send_frozen_order();
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn frozen_order_is_taken_over_at_once_where_fencing_is_checked() {
    let mut fleet = fleet(true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.change_leader(SECOND);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    let loaded_at = fleet.log.clone();
    fleet.send_frozen_order();
    assert_eq!(fleet.log, loaded_at);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn order_that_was_never_sent_frees_its_memory() {
    let mut fleet = fleet(false);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.change_leader(time::Duration::ZERO);
    let frozen = fleet.frozen.pop().expect("one order is unsent");
    fleet.step(engine::PlacementEvent::OrderNeverSent {
        id: frozen.reservation.id,
        fence: frozen.reservation.fence,
    });
    assert!(
        fleet
            .log
            .values()
            .all(|reservation| reservation.id != frozen.reservation.id)
    );
}

#[test]
fn new_leader_plans_nothing_before_the_takeover_wait_is_over() {
    let mut fleet = fleet(true);
    fleet.change_leader(10 * SECOND);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(9 * SECOND);
    assert!(fleet.log.is_empty());
    fleet.run(2 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
}

#[test]
fn replica_without_a_reservation_is_adopted_at_once_and_unloaded() {
    let mut fleet = fleet(true);
    let undecided = placement::ReplicaArtifact {
        model: "unknown".into(),
        ..artifact("a")
    };
    let loaded = LoadedOrder {
        order: 77,
        bytes: 60,
    };
    let server = fleet.servers.get_mut("one").expect("the server exists");
    server.loaded.insert(undecided.clone(), loaded);
    fleet.announce("one");
    assert_eq!(fleet.alarms, 1);
    assert_eq!(fleet.log.len(), 1);
    fleet.run(10 * SECOND);
    assert!(fleet.loaded_on(&undecided).is_empty());
    assert!(fleet.log.is_empty());
}

#[test]
fn restart_of_a_server_releases_its_memory() {
    let mut fleet = fleet(false);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.lose_order(0);
    fleet.restart_server("one");
    assert!(
        fleet
            .log
            .values()
            .all(|reservation| reservation.incarnation == amount::IncarnationNumber(2))
    );
    fleet.run(3 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
}

#[test]
fn replica_that_a_server_lost_is_released_and_loaded_again() {
    let mut fleet = fleet(true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    fleet
        .servers
        .get_mut("one")
        .expect("the server exists")
        .loaded
        .clear();
    fleet.run(3 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn refused_repeat_frees_no_memory_that_the_first_order_may_occupy() {
    let mut fleet = fleet(false);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.lose_order(0);
    fleet.now += 2 * SECOND;
    fleet.announce("one");
    fleet.step(engine::PlacementEvent::Tick);
    let repeat = fleet.orders.pop().expect("the order is repeated");
    let (id, fence) = (repeat.reservation.id, repeat.reservation.fence);
    let outcome = engine::OrderOutcome::Refused;
    fleet.step(engine::PlacementEvent::OrderEnded { id, fence, outcome });
    assert!(fleet.log.contains_key(&id));
    fleet.now += 3 * SECOND;
    fleet.announce("one");
    assert!(!fleet.log.contains_key(&id));
}
