//! Engines that check fencing numbers, and engines that do not.

use galenahold_testkit::engine;

use crate::caller;

fn start(checks: bool) -> engine::EngineProcess {
    engine::EngineBuilder::new("engine-1")
        .checks_fencing(checks)
        .start()
        .expect("an engine")
}

#[test]
fn old_fencing_number_is_refused_by_an_engine_that_checks() {
    let engine = start(true);
    assert_eq!(caller::load(engine.address(), "a", 10, "2.5"), 200);
    assert_eq!(caller::load(engine.address(), "b", 10, "1.9"), 409);
    assert_eq!(caller::load(engine.address(), "c", 10, "2.5"), 200);
    let held: Vec<_> = engine
        .loaded()
        .into_iter()
        .map(|loaded| loaded.model)
        .collect();
    assert_eq!(held, ["a", "c"]);
}

#[test]
fn old_fencing_number_is_obeyed_by_an_engine_that_does_not_check() {
    let engine = start(false);
    assert_eq!(caller::load(engine.address(), "a", 10, "2.5"), 200);
    assert_eq!(caller::load(engine.address(), "b", 10, "1.9"), 200);
    assert_eq!(engine.loaded().len(), 2);
    assert_eq!(
        engine.ledger().placements[1].fencing.as_deref(),
        Some("1.9")
    );
}
