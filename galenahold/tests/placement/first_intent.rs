//! Before operators have confirmed anything, nothing is changed.

use std::thread;
use std::time;

use galenahold_testkit::engine;
use galenahold_testkit::harness;
use galenahold_testkit::ledger;

use crate::fleet_setup;

/// How long an engine is left without an intent: longer than a drain takes.
const WITHOUT_INTENT: time::Duration = time::Duration::from_secs(10);

#[test]
fn what_engines_hold_is_left_alone_before_the_first_intent() {
    let _turn = fleet_setup::take_turn();
    let fleet = harness::FleetBuilder::default()
        .control(3)
        .start_ready(fleet_setup::LIMIT)
        .expect("the fleet starts");
    let engine = engine::EngineBuilder::new("engine-0")
        .instances(&fleet.backends())
        .announce_interval_ms(200)
        .model("model-0", "1", fleet_setup::MODEL_BYTES)
        .start()
        .expect("the engine starts");
    thread::sleep(WITHOUT_INTENT);
    let placements = engine.ledger().placements;
    let unloads = placements
        .iter()
        .filter(|placement| placement.kind == ledger::PlacementKind::UnloadModel);
    assert_eq!(unloads.count(), 0);
}
