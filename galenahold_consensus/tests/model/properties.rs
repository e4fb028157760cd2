//! Property tests: safety under random faults and recovery after them.

use std::cell;
use std::env;

use proptest::prelude::*;
use proptest::test_runner;

use crate::model_group;
use crate::model_step;

/// Returns a configuration with a fixed seed, so that all runs test the same cases; the environment
/// variables of proptest override the seed and the number of cases.
fn config() -> test_runner::Config {
    const SEED: u64 = 20_261_204;
    const CASES: u32 = 192;
    let mut config = test_runner::Config {
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    if env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = test_runner::RngSeed::Fixed(SEED);
    }
    if env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn safety_properties_hold_under_faults(steps in model_step::steps()) {
        let mut group = model_group::ModelGroup::new();
        for step in &steps {
            group.step(step);
        }
    }

    #[test]
    fn group_commits_again_after_all_faults_heal(steps in model_step::steps()) {
        let mut group = model_group::ModelGroup::new();
        for step in &steps {
            group.step(step);
        }
        prop_assert!(group.recovers());
    }
}

#[test]
fn model_reaches_elections_leases_and_commits() {
    let mut runner = test_runner::TestRunner::new(config());
    let elections = cell::Cell::new(0);
    let leases = cell::Cell::new(0);
    let commits = cell::Cell::new(0);
    runner
        .run(&model_step::steps(), |steps| {
            let mut group = model_group::ModelGroup::new();
            for step in &steps {
                group.step(step);
            }
            elections.set(elections.get() + group.checker.elections);
            leases.set(leases.get() + group.checker.leases);
            commits.set(commits.get() + group.checker.highest_committed().get());
            Ok(())
        })
        .expect("the safety properties hold");
    println!("elections {elections:?}, steps with a lease {leases:?}, commits {commits:?}");
    assert!(elections.get() > 0 && leases.get() > 0 && commits.get() > 0);
}
