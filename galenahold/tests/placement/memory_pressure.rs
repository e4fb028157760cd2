//! More models are asked for than fit, while leaders die.

use galenahold_testkit::ledger;

use crate::fleet_setup;

/// Models; only four fit the two engines.
const MODELS: usize = 10;

/// Rounds in which each model is asked for once.
const ROUNDS: usize = 2;

#[test]
fn memory_is_never_overcommitted_while_models_change_places_and_leaders_die() {
    let mut placement = fleet_setup::PlacementFleet::start(2, MODELS, false);
    for round in 0..ROUNDS {
        let asked: Vec<_> = (0..MODELS)
            .map(|number| {
                let caller = placement.caller(3);
                fleet_setup::ask(
                    caller,
                    &format!("model-{number}"),
                    &format!("round {round}"),
                )
            })
            .collect();
        let leader = placement.leader();
        placement.fleet.instances_mut()[leader].kill();
        for answer in asked {
            let answer = answer.join().expect("the caller ends");
            let served = answer.status == 200;
            let refused = answer.verdict.as_deref() == Some("not-run");
            assert!(served || refused, "{} {}", answer.status, answer.body);
        }
        let killed = &mut placement.fleet.instances_mut()[leader];
        killed.start().expect("it starts again");
        killed.wait_ready(fleet_setup::LIMIT).expect("it is ready");
    }
    placement.assert_memory_held();
    let ledgers = placement.ledgers();
    for number in 0..MODELS {
        let model = format!("model-{number}");
        assert!(ledger::LedgerSnapshot::peak_replicas(&ledgers, &model) <= 1);
    }
}
