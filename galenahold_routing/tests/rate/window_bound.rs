//! In any time window, at most the rate times the window plus the burst passes.

use std::time;

use proptest::prelude::*;
use proptest::strategy;

use crate::fleet_model::{FleetModel, FleetStep, PassedTokens, team};

const HOLDERS: usize = 3;
const RATE: u64 = 100;
const BURST: u64 = 400;

fn any_step() -> impl strategy::Strategy<Value = FleetStep> {
    let holder = 0..HOLDERS;
    prop_oneof![
        12 => (1_u64..400).prop_map(|millis| FleetStep::Wait { millis }),
        1 => (1_000_u64..6_000).prop_map(|millis| FleetStep::Wait { millis }),
        8 => (holder.clone(), 1_u64..300, any_pause()).prop_map(|(holder, tokens, pause_millis)| {
            FleetStep::Spend { holder, tokens, pause_millis }
        }),
        16 => (holder.clone(), 1_u64..=BURST).prop_map(|(holder, tokens)| FleetStep::RoundTrip { holder, tokens }),
        1 => (holder.clone(), 1_u64..100).prop_map(|(holder, tokens)| FleetStep::SpendReplaced { holder, tokens }),
        8 => (holder.clone(), 0_u64..=100).prop_map(|(holder, percent)| FleetStep::Settle { holder, percent }),
        6 => holder.clone().prop_map(|holder| FleetStep::Call { holder }),
        6 => Just(FleetStep::Answer),
        6 => Just(FleetStep::Deliver),
        1 => Just(FleetStep::LoseCall),
        1 => Just(FleetStep::LoseReply),
        1 => holder.prop_map(|holder| FleetStep::Restart { holder }),
        1 => Just(FleetStep::ChangeLeader),
    ]
}

fn any_step_or_limits() -> impl strategy::Strategy<Value = FleetStep> {
    prop_oneof![
        40 => any_step(),
        1 => (1_u64..=RATE, 1_u64..=BURST).prop_map(|(rate, burst)| FleetStep::ChangeLimits { rate, burst }),
    ]
}

fn any_pause() -> impl strategy::Strategy<Value = u64> {
    prop_oneof![9 => Just(0_u64), 1 => 1_u64..2_500]
}

/// Returns the first window in which more tokens passed than rate and burst allow, with these tokens.
fn exceeded_window(passed: &[PassedTokens]) -> Option<(time::Duration, u64)> {
    (0..passed.len()).find_map(|first| {
        let mut tokens = 0;
        passed[first..].iter().find_map(|entry| {
            tokens += entry.tokens;
            let window = entry.at - passed[first].at;
            let allowed = u128::from(BURST) + window.as_nanos() * u128::from(RATE) / 1_000_000_000;
            (u128::from(tokens) > allowed).then_some((window, tokens))
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn tokens_in_any_window_stay_within_rate_and_burst(
        steps in prop::collection::vec(any_step(), 50..600),
    ) {
        let mut model = FleetModel::new(HOLDERS, team(RATE, BURST));
        for step in &steps {
            model.step(step);
        }
        prop_assert_eq!(exceeded_window(&model.passed), None);
    }

    #[test]
    fn tokens_stay_within_the_highest_limits_when_the_intent_changes_them(
        steps in prop::collection::vec(any_step_or_limits(), 50..600),
    ) {
        let mut model = FleetModel::new(HOLDERS, team(RATE, BURST));
        for step in &steps {
            model.step(step);
        }
        prop_assert_eq!(exceeded_window(&model.passed), None);
    }
}

#[test]
fn whole_burst_and_rate_reach_a_single_busy_holder() {
    let mut model = FleetModel::new(HOLDERS, team(RATE, BURST));
    model.step(&FleetStep::Wait { millis: 10_000 });
    let started_at = model.now;
    for _ in 0..2_000 {
        model.step(&FleetStep::Spend {
            holder: 0,
            tokens: 10,
            pause_millis: 0,
        });
        model.step(&FleetStep::Call { holder: 0 });
        model.step(&FleetStep::Wait { millis: 5 });
        model.step(&FleetStep::Answer);
        model.step(&FleetStep::Deliver);
    }
    let elapsed = (model.now - started_at).as_secs();
    let passed: u64 = model.passed.iter().map(|entry| entry.tokens).sum();
    let entitled = BURST + RATE * elapsed;
    assert!(passed * 100 >= entitled * 98, "{passed} of {entitled}");
}
