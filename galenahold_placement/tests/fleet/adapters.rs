//! An engine is never ordered to hold more adapters than it has slots.

use std::time;

use galenahold_domain::amount;
use galenahold_placement::fleet;

use crate::fixture;

const NO_BYTES: amount::ByteCount = amount::ByteCount(0);

fn request_adapter(
    planner: &mut fleet::FleetPlanner,
    adapter: &str,
    now: time::Instant,
) -> fleet::AdapterDecision {
    let record = fixture::record("s1", &["a"], &["a"]);
    let requested = fixture::adapter("a", adapter);
    planner.request_adapter(&record, &fixture::engine(), &requested, now)
}

fn orders(decision: fleet::AdapterDecision) -> Vec<fleet::EngineOrder> {
    match decision {
        fleet::AdapterDecision::Order { orders, .. } => orders,
        other => panic!("expected orders, got {other:?}"),
    }
}

fn load_adapter(planner: &mut fleet::FleetPlanner, adapter: &str, now: time::Instant) {
    for order in orders(request_adapter(planner, adapter, now)) {
        planner.apply_receipt(&order, fleet::OrderReceipt::Accepted, NO_BYTES, now);
    }
}

#[test]
fn unload_that_waits_for_runs_does_not_free_the_slot_for_the_next_order() {
    let held = fixture::adapter("a", "x");
    let unload = fleet::OrderAction::UnloadAdapter(held.clone());
    assert!(!unload.is_completed_by(fleet::OrderReceipt::Accepted));
    assert!(unload.is_completed_by(fleet::OrderReceipt::Done));
    let load = fleet::OrderAction::LoadAdapter(held);
    assert!(load.is_completed_by(fleet::OrderReceipt::Accepted));
    assert!(!load.is_completed_by(fleet::OrderReceipt::Unanswered));
}

#[test]
fn adapter_that_was_just_used_is_not_unloaded_for_another() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    load_adapter(&mut planner, "x", now);
    load_adapter(&mut planner, "y", now);
    let decision = request_adapter(&mut planner, "z", now);
    assert!(matches!(decision, fleet::AdapterDecision::Refused { .. }));
}

#[test]
fn unused_adapter_is_unloaded_before_the_new_one_is_loaded() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    load_adapter(&mut planner, "x", now);
    load_adapter(&mut planner, "y", now);
    let later = now + time::Duration::from_secs(2);
    planner.record_adapter_use(
        &galenahold_domain::name::ServerName::from("s1"),
        &fixture::adapter("a", "y"),
        later,
    );
    let orders = orders(request_adapter(&mut planner, "z", later));
    let actions: Vec<_> = orders.iter().map(|order| order.action.clone()).collect();
    assert_eq!(
        actions,
        [
            fleet::OrderAction::UnloadAdapter(fixture::adapter("a", "x")),
            fleet::OrderAction::LoadAdapter(fixture::adapter("a", "z")),
        ]
    );
}

#[test]
fn unanswered_orders_keep_their_slots_occupied() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    for adapter in ["x", "y"] {
        for order in orders(request_adapter(&mut planner, adapter, now)) {
            planner.apply_receipt(&order, fleet::OrderReceipt::Unanswered, NO_BYTES, now);
        }
    }
    let later = now + time::Duration::from_secs(5);
    let decision = request_adapter(&mut planner, "z", later);
    assert!(matches!(decision, fleet::AdapterDecision::Refused { .. }));
    let much_later = now + time::Duration::from_secs(20);
    let record = fixture::record("s1", &["a"], &["a"]);
    planner.record_adapters(&record.name, record.started_ms, &[], much_later);
    let decision = request_adapter(&mut planner, "z", much_later);
    assert!(matches!(decision, fleet::AdapterDecision::Order { .. }));
}

#[test]
fn engine_that_loads_a_model_gets_no_adapter_order() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a"], &["a", "b"])];
    fixture::report_waiting(&mut planner, "b", now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(fixture::actions(&step), [fixture::load("s1", "b")]);
    let decision = request_adapter(&mut planner, "x", now);
    assert!(matches!(decision, fleet::AdapterDecision::Refused { .. }));
}

#[test]
fn orders_list_adapters_that_may_be_loaded_and_the_one_to_unload() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let record = fixture::record("s1", &["a"], &[]);
    let held = [fixture::adapter("a", "x"), fixture::adapter("a", "y")];
    planner.record_adapters(&record.name, record.started_ms, &held, now);
    let later = now + time::Duration::from_secs(2);
    let requested = fixture::adapter("a", "z");
    let decision = planner.request_adapter(&record, &fixture::engine(), &requested, later);
    let fleet::AdapterDecision::Order { orders, .. } = decision else {
        panic!("expected orders, got {decision:?}");
    };
    assert_eq!(orders.len(), 2);
    for adapter in &held {
        assert!(orders[0].adapters.contains(adapter), "{adapter:?}");
    }
    assert!(orders[1].adapters.contains(&requested));
}

/// Guards against an order that exceeds the adapter slots after a change of leader: the load
/// overtook the unload that was to free its slot. Found in the run trouble-1 of
/// asennau-cymru-grown.
#[test]
fn slot_of_an_adapter_stays_occupied_until_its_unload_is_confirmed() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let record = fixture::record("s1", &["a", "b"], &[]);
    let (service, engine) = (fixture::service(), fixture::engine());
    let held = [fixture::adapter("a", "x")];
    planner.record_adapters(&record.name, record.started_ms, &held, now);
    let later = now + time::Duration::from_secs(2);
    let step = planner.plan(&service, &engine, std::iter::once(&record), later);
    let unload = fleet::OrderAction::UnloadAdapter(held[0].clone());
    let order = step.orders.iter().find(|order| order.action == unload);
    let order = order.expect("the plan frees a slot in advance").clone();
    let request = |planner: &mut fleet::FleetPlanner, adapter| {
        planner.request_adapter(&record, &engine, &fixture::adapter("a", adapter), later)
    };
    let first = request(&mut planner, "y");
    assert!(matches!(first, fleet::AdapterDecision::Order { .. }));
    let second = request(&mut planner, "z");
    assert!(matches!(second, fleet::AdapterDecision::Refused { .. }));
    let again = request(&mut planner, "x");
    assert!(matches!(again, fleet::AdapterDecision::Refused { .. }));
    planner.apply_receipt(&order, fleet::OrderReceipt::Done, NO_BYTES, later);
    let third = request(&mut planner, "z");
    assert!(matches!(third, fleet::AdapterDecision::Order { .. }));
}
