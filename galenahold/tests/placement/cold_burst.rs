//! A burst for one cold model makes one decision.

use crate::fleet_setup;

/// Requests that arrive together, spread over all instances.
const REQUESTS: usize = 40;

#[test]
fn a_burst_for_a_cold_model_at_all_instances_is_loaded_once_and_all_are_answered() {
    let placement = fleet_setup::PlacementFleet::start(3, 2, false);
    let asked: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let instance = number % placement.fleet.instances().len();
            let text = format!("flood mark {number}");
            fleet_setup::ask(placement.caller(instance), "model-0", &text)
        })
        .collect();
    for answer in asked {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(placement.load_orders("model-0"), 1);
    assert_eq!(placement.load_orders("model-1"), 0);
    placement.assert_memory_held();
}
