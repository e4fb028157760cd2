//! Reactions to demand: a burst causes one load, busy replicas are not unloaded, and nothing
//! starves.

use std::time;

use galenahold_domain::placement;
use galenahold_placement::{demand, engine};

use crate::fleet_model::{FleetModel, adapter, artifact, model};

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn burst_for_a_cold_model_causes_one_reserve() {
    let mut many = model("a", 10, &[]);
    many.max_replicas = 3;
    let mut fleet = FleetModel::new(vec![many])
        .with_server("one", 100, true)
        .with_server("two", 100, true);
    for waiting in 1..50 {
        fleet.report_waiting(&artifact("a"), waiting);
        fleet.step(engine::PlacementEvent::Tick);
    }
    assert_eq!(fleet.reserves, 1);
}

#[test]
fn lasting_demand_adds_replicas_up_to_the_maximum() {
    let mut two = model("a", 10, &[]);
    two.max_replicas = 2;
    let mut fleet = FleetModel::new(vec![two])
        .with_server("one", 100, true)
        .with_server("two", 100, true)
        .with_server("three", 100, true);
    fleet.report_waiting(&artifact("a"), 50);
    fleet.run(2 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")).len(), 1);
    fleet.run(60 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")).len(), 2);
}

#[test]
fn replica_is_not_unloaded_while_its_requests_are_running() {
    let mut fleet = FleetModel::new(vec![model("a", 60, &[]), model("b", 60, &[])])
        .with_server("one", 100, true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    fleet.report_waiting(&artifact("a"), 0);
    fleet.report_work("one", &artifact("a"), 1);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.run(30 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    fleet.report_work("one", &artifact("a"), 0);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("b")), ["one"]);
}

#[test]
fn adapter_demand_loads_the_base_model_and_the_adapter_on_one_server() {
    let mut fleet = FleetModel::new(vec![model("a", 60, &["x"])])
        .with_server("one", 100, true)
        .with_server("two", 100, true);
    fleet.report_waiting(&adapter("a", "x"), 1);
    fleet.run(3 * SECOND);
    let base = fleet.loaded_on(&artifact("a"));
    assert_eq!(base.len(), 1);
    assert_eq!(fleet.loaded_on(&adapter("a", "x")), base);
}

#[test]
fn waiting_models_are_loaded_in_turn_when_memory_holds_only_one() {
    let names = ["a", "b", "c", "d"];
    let models = names.iter().map(|name| model(name, 60, &[])).collect();
    let mut fleet = FleetModel::new(models).with_server("one", 100, true);
    for name in names {
        fleet.report_waiting(&artifact(name), 1);
    }
    let mut loaded = std::collections::BTreeSet::new();
    for _ in 0..400 {
        fleet.run(time::Duration::from_millis(250));
        let now_loaded = names
            .iter()
            .filter(|name| !fleet.loaded_on(&artifact(name)).is_empty());
        for name in now_loaded.copied().collect::<Vec<_>>() {
            loaded.insert(name);
            fleet.report_waiting(&artifact(name), 0);
        }
    }
    assert_eq!(loaded.len(), names.len());
}

#[test]
fn idle_replica_is_unloaded_and_the_minimum_stays() {
    let mut pinned = model("a", 10, &[]);
    pinned.min_replicas = 1;
    let mut fleet =
        FleetModel::new(vec![pinned, model("b", 10, &[])]).with_server("one", 100, true);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.run(SECOND);
    fleet.report_waiting(&artifact("b"), 0);
    fleet.run(1_200 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    assert!(fleet.loaded_on(&artifact("b")).is_empty());
    assert_eq!(fleet.reserves, 2);
}

#[test]
fn draining_replica_that_gets_requests_is_unloaded_after_they_end() {
    let mut fleet = FleetModel::new(vec![model("a", 60, &[]), model("b", 60, &[])])
        .with_server("one", 100, true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    fleet.report_waiting(&artifact("a"), 0);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.report_work("one", &artifact("a"), 1);
    fleet.run(20 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    fleet.report_work("one", &artifact("a"), 0);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("b")), ["one"]);
}

#[test]
fn busy_replica_is_not_evicted_before_its_minimum_residency() {
    let mut fleet = FleetModel::new(vec![model("a", 60, &[]), model("b", 60, &[])])
        .with_server("one", 100, true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    fleet.report_waiting(&artifact("a"), 0);
    fleet.report_work("one", &artifact("a"), 1);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.run(4 * SECOND);
    let states = fleet.log.values().map(|reservation| reservation.state);
    assert!(states.eq([placement::ReservationState::Loaded]));
}

#[test]
fn leaving_server_gets_no_load() {
    let mut fleet = FleetModel::new(vec![model("a", 60, &[])]).with_server("one", 100, true);
    fleet
        .servers
        .get_mut("one")
        .expect("the server exists")
        .leaving = true;
    fleet.announce("one");
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    assert_eq!(fleet.reserves, 0);
}

#[test]
fn no_second_reserve_is_requested_while_the_first_is_unanswered() {
    let mut two = model("a", 10, &[]);
    two.max_replicas = 2;
    let mut fleet = FleetModel::new(vec![two])
        .with_server("one", 100, true)
        .with_server("two", 100, true);
    fleet.hold_reserves = true;
    for waiting in 1..20 {
        fleet.report_waiting(&artifact("a"), waiting);
        fleet.step(engine::PlacementEvent::Tick);
    }
    assert_eq!(fleet.reserves, 1);
}

#[test]
fn replicas_of_a_leaving_server_are_replaced_on_another_one() {
    let mut pinned = model("a", 10, &[]);
    pinned.min_replicas = 1;
    pinned.max_replicas = 2;
    let mut fleet = FleetModel::new(vec![pinned]).with_server("one", 100, true);
    fleet.run(SECOND);
    fleet
        .servers
        .get_mut("one")
        .expect("the server exists")
        .leaving = true;
    let mut fleet = fleet.with_server("two", 100, true);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one", "two"]);
}

#[test]
fn old_version_is_unloaded_once_the_new_one_is_loaded() {
    let mut old = model("a", 10, &[]);
    old.min_replicas = 1;
    let mut fleet = FleetModel::new(vec![old.clone()]).with_server("one", 100, true);
    fleet.run(SECOND);
    let mut new = old;
    new.version = "2".into();
    let mut upgraded = artifact("a");
    upgraded.version = "2".into();
    fleet.report_work("one", &artifact("a"), 1);
    fleet.set_intent(vec![new]);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    fleet.run(2 * SECOND);
    fleet.report_work("one", &artifact("a"), 0);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.loaded_on(&upgraded), ["one"]);
    assert!(fleet.loaded_on(&artifact("a")).is_empty());
}

#[test]
fn idle_replica_is_evicted_before_a_busy_one_on_the_same_server() {
    let models = vec![
        model("a", 40, &[]),
        model("b", 60, &[]),
        model("c", 20, &[]),
    ];
    let mut fleet = FleetModel::new(models).with_server("one", 100, true);
    for name in ["a", "c"] {
        fleet.report_waiting(&artifact(name), 1);
        fleet.run(SECOND);
        fleet.report_waiting(&artifact(name), 0);
    }
    fleet.report_work("one", &artifact("a"), 1);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.run(4 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("a")), ["one"]);
    assert_eq!(fleet.loaded_on(&artifact("b")), ["one"]);
    assert!(fleet.loaded_on(&artifact("c")).is_empty());
}

#[test]
fn memory_freed_by_an_eviction_is_not_taken_by_another_model() {
    let models = vec![
        model("a", 60, &[]),
        model("b", 60, &[]),
        model("c", 45, &[]),
    ];
    let mut fleet = FleetModel::new(models).with_server("one", 100, true);
    fleet.report_waiting(&artifact("a"), 1);
    fleet.run(SECOND);
    fleet.report_waiting(&artifact("a"), 0);
    fleet.report_waiting(&artifact("b"), 1);
    fleet.report(
        vec![demand::ArtifactDemand {
            artifact: artifact("c"),
            waiting: 1,
            oldest_wait: 10 * SECOND,
            arrivals: 1,
            teams: Vec::new(),
        }],
        Vec::new(),
    );
    fleet.run(4 * SECOND);
    assert_eq!(fleet.loaded_on(&artifact("b")), ["one"]);
}
