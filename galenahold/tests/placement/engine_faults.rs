//! Engines die in the middle of a load and come back with other contents.

use galenahold_testkit::{control, engine};

use crate::fleet_setup;

/// Times that the engine starts anew.
const RETURNS: usize = 5;

#[test]
fn a_load_that_dies_with_its_engine_is_made_elsewhere_and_the_request_is_answered() {
    let mut placement = fleet_setup::PlacementFleet::start(2, 1, false);
    for engine in &placement.engines {
        engine.control(&control::ServerControl::CrashNextLoad);
    }
    let asked = fleet_setup::ask(placement.caller(3), "model-0", "flood mark");
    fleet_setup::wait_until("an engine dies in its load", || {
        placement
            .engines
            .iter()
            .any(engine::EngineProcess::is_crashed)
    });
    // A new start forgets the control, so that neither engine dies again.
    for engine in &mut placement.engines {
        engine.restart().expect("the engine starts again");
    }
    let answer = asked.join().expect("the caller ends");
    assert_eq!(answer.status, 200, "{}", answer.body);
    placement.assert_memory_held();
}

#[test]
fn an_engine_that_returns_empty_under_its_name_is_loaded_again() {
    let mut placement = fleet_setup::PlacementFleet::start(1, 1, false);
    for round in 0..RETURNS {
        let text = format!("round {round}");
        let asked = fleet_setup::ask(placement.caller(3), "model-0", &text);
        let answer = asked.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{text}: {}", answer.body);
        placement.engines[0]
            .restart()
            .expect("the engine starts again");
    }
    placement.assert_memory_held();
}
