//! Waiting instances hear of a loaded replica from the leader, before the engine announces it.

use crate::fleet_setup;

#[test]
fn a_cold_request_is_answered_although_its_engine_does_not_announce_the_replica_in_time() {
    let placement = fleet_setup::PlacementFleet::start_rarely_announced(1, 1);
    let asked: Vec<_> = (0..placement.fleet.instances().len())
        .map(|instance| fleet_setup::ask(placement.caller(instance), "model-0", "flood mark"))
        .collect();
    for answer in asked {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(placement.load_orders("model-0"), 1);
}
