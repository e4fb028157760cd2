//! Adapters are loaded beside their base models.

use galenahold_testkit::ledger;

use crate::fleet_setup;

/// Requests that arrive together, spread over all instances.
const REQUESTS: usize = 20;

/// Adapters of each model in these tests.
const ADAPTERS: usize = 3;

#[test]
fn a_burst_for_an_adapter_of_a_cold_model_loads_the_base_first_and_each_once() {
    let placement = fleet_setup::PlacementFleet::start_with_adapters(2, 1, ADAPTERS);
    let adapter = fleet_setup::adapter_name(0, 0);
    ask_everywhere(&placement, &adapter);
    assert_eq!(placement.load_orders("model-0"), 1);
    assert_eq!(placement.load_orders(&adapter), 1);
    assert_base_first(&placement, &adapter);
    placement.assert_memory_held();
}

#[test]
fn an_adapter_is_loaded_once_beside_a_base_model_that_is_loaded() {
    let placement = fleet_setup::PlacementFleet::start_with_adapters(2, 1, ADAPTERS);
    ask_everywhere(&placement, "model-0");
    for number in 0..ADAPTERS {
        let adapter = fleet_setup::adapter_name(0, number);
        ask_everywhere(&placement, &adapter);
        assert_eq!(placement.load_orders(&adapter), 1, "{adapter}");
        assert_base_first(&placement, &adapter);
    }
    assert_eq!(placement.load_orders("model-0"), 1);
    placement.assert_memory_held();
}

#[test]
fn memory_holds_when_more_models_and_adapters_are_asked_for_than_fit() {
    // Four models fit the two engines without adapters.
    const MODELS: usize = 5;
    let placement = fleet_setup::PlacementFleet::start_with_adapters(2, MODELS, ADAPTERS);
    let asked: Vec<_> = (0..MODELS)
        .flat_map(|model| (0..ADAPTERS).map(move |number| (model, number)))
        .map(|(model, number)| {
            let adapter = fleet_setup::adapter_name(model, number);
            fleet_setup::ask(placement.caller(3), &adapter, "flood mark")
        })
        .collect();
    for answer in asked {
        let answer = answer.join().expect("the caller ends");
        let served = answer.status == 200;
        let refused = answer.verdict.as_deref() == Some("not-run");
        assert!(served || refused, "{} {}", answer.status, answer.body);
    }
    placement.assert_memory_held();
}

#[test]
fn an_adapter_request_is_served_again_after_the_engine_lost_the_adapter() {
    let mut placement = fleet_setup::PlacementFleet::start_with_adapters(1, 1, ADAPTERS);
    let adapter = fleet_setup::adapter_name(0, 0);
    ask_everywhere(&placement, &adapter);
    placement.drop_adapter(&adapter);
    ask_everywhere(&placement, &adapter);
    placement.engines[0]
        .restart()
        .expect("the engine starts again");
    ask_everywhere(&placement, &adapter);
    placement.assert_memory_held();
}

/// Asks all instances at once; each request has to be answered.
fn ask_everywhere(placement: &fleet_setup::PlacementFleet, name: &str) {
    let asked: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let instance = number % placement.fleet.instances().len();
            let text = format!("flood mark {number}");
            fleet_setup::ask(placement.caller(instance), name, &text)
        })
        .collect();
    for answer in asked {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{name}: {}", answer.body);
    }
}

/// Checks that the engine of an adapter had its base model before it was told to load the adapter.
fn assert_base_first(placement: &fleet_setup::PlacementFleet, adapter: &str) {
    for ledger in placement.ledgers() {
        let orders = &ledger.placements;
        let Some(order) = orders.iter().find(|order| order.model == adapter) else {
            continue;
        };
        let has_base = orders.iter().any(|base| {
            base.kind == ledger::PlacementKind::LoadModel
                && base
                    .ended_us
                    .is_some_and(|ended| ended <= order.received_us)
        });
        assert!(has_base, "{adapter} came before its base model");
        assert_eq!(order.status, Some(200), "{adapter}");
    }
}
