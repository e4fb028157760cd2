//! Choice of the engine for a load, and of the model to evict.

use std::time;

use galenahold_domain::amount;
use galenahold_placement::fleet;

use crate::fixture;

#[test]
fn requested_model_is_loaded_where_its_weights_are_near() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        fixture::record("s1", &["a"], &["a"]),
        fixture::record("s2", &["b"], &["b", "c"]),
    ];
    fixture::plan(&mut planner, &records, now);
    fixture::report_waiting(&mut planner, "c", now);
    let step = fixture::plan(&mut planner, &records, now);
    assert!(fixture::actions(&step).contains(&fixture::load("s2", "c")));
}

/// Guards against fetching from the weight store when an engine that has the model on its disk is
/// only briefly busy with another load. Occurs when rare models are requested all day.
#[test]
fn load_waits_for_a_busy_engine_with_a_copy_rather_than_use_the_weight_store() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        fixture::record("s1", &["a"], &["a"]),
        fixture::record("s2", &["a"], &["b", "c", "d"]),
    ];
    fixture::report_waiting(&mut planner, "b", now);
    let first = fixture::plan(&mut planner, &records, now);
    assert_eq!(fixture::actions(&first), [fixture::load("s2", "b")]);
    let soon = now + time::Duration::from_millis(100);
    fixture::report_waiting(&mut planner, "c", soon);
    let second = fixture::plan(&mut planner, &records, soon);
    assert_eq!(fixture::actions(&second), []);
}

#[test]
fn unanswered_load_keeps_its_memory_reserved() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a"], &["a", "b", "c"])];
    fixture::report_waiting(&mut planner, "b", now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(fixture::actions(&step), [fixture::load("s1", "b")]);
    let bytes = amount::ByteCount(fixture::WEIGHTS);
    planner.apply_receipt(&step.orders[0], fleet::OrderReceipt::Unanswered, bytes, now);
    // The load may still be executed: `c` fits only after `a` is unloaded.
    let later = now + time::Duration::from_secs(3);
    fixture::report_waiting(&mut planner, "c", later);
    let step = fixture::plan(&mut planner, &records, later);
    let loads =
        |order: &fleet::EngineOrder| matches!(order.action, fleet::OrderAction::LoadModel(_));
    assert!(!step.orders.iter().any(loads), "{step:?}");
}

#[test]
fn model_is_evicted_before_the_load_is_ordered() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let full = [fixture::record("s1", &["a", "b"], &["a", "b", "c"])];
    fixture::plan(&mut planner, &full, now);
    let later = now + time::Duration::from_secs(5);
    fixture::report_waiting(&mut planner, "c", later);
    let step = fixture::plan(&mut planner, &full, later);
    assert_eq!(step.orders.len(), 1);
    assert!(matches!(
        step.orders[0].action,
        fleet::OrderAction::UnloadModel(_)
    ));
    assert_eq!(step.retiring.len(), 1);
    let evicted = step.orders[0].action.model().to_string();
    let retained = if evicted == "a" { "b" } else { "a" };
    let freed = [fixture::record("s1", &[retained], &["a", "b", "c"])];
    let step = fixture::plan(&mut planner, &freed, later);
    assert_eq!(fixture::actions(&step), [fixture::load("s1", "c")]);
}

#[test]
fn silent_or_leaving_engine_gets_no_order() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let mut silent = fixture::record("s1", &["a"], &["c"]);
    silent.silent = true;
    let mut leaving = fixture::record("s2", &["a"], &["c"]);
    leaving.leaves_soon = true;
    fixture::report_waiting(&mut planner, "c", now);
    let step = fixture::plan(&mut planner, &[silent, leaving], now);
    assert_eq!(fixture::actions(&step), []);
}
