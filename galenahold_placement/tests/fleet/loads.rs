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

/// Load pattern: two popular models share an engine while all others serve rare ones. No model is
/// requested often enough for a further copy by itself, but the prompts of both meet at their engine.
#[test]
fn popular_model_on_a_busy_engine_gets_a_copy_on_an_idle_one() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        fixture::record("s1", &["a", "b"], &["a", "b"]),
        fixture::record("s2", &["c"], &["a", "c"]),
        fixture::record("s3", &["d"], &["a", "d"]),
        fixture::record("s4", &["d"], &["d"]),
    ];
    let steps = request_steadily(
        &mut planner,
        &records,
        &["a", "a", "a", "b", "b", "c"],
        &mut now,
    );
    let loads: Vec<_> = steps.iter().flat_map(fixture::actions).collect();
    assert!(loads.contains(&fixture::load("s3", "a")), "{loads:?}");
}

#[test]
fn evenly_requested_models_get_no_further_copies() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        fixture::record("s1", &["a"], &["a", "b", "c", "d"]),
        fixture::record("s2", &["b"], &["a", "b", "c", "d"]),
        fixture::record("s3", &["c"], &["a", "b", "c", "d"]),
        fixture::record("s4", &["d"], &["a", "b", "c", "d"]),
    ];
    let requested = ["a", "b", "c", "d"];
    let steps = request_steadily(&mut planner, &records, &requested, &mut now);
    let loads: Vec<_> = steps.iter().flat_map(fixture::actions).collect();
    assert_eq!(loads, []);
}

/// Plans for ten seconds in which each listed request arrives once a second.
fn request_steadily(
    planner: &mut fleet::FleetPlanner,
    records: &[galenahold_domain::fleet::ServerRecord],
    models: &[&str],
    now: &mut time::Instant,
) -> Vec<fleet::PlanStep> {
    let mut steps = Vec::new();
    for _ in 0..10 {
        *now += time::Duration::from_secs(1);
        for model in models {
            fixture::report_request(planner, model, *now);
        }
        steps.push(fixture::plan(planner, records, *now));
    }
    steps
}
