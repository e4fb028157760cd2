//! Many instances before the same few engines.

use crate::fleet_model;

const NAMES: [&str; 12] = [
    "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "sa", "sb", "sc",
];

fn engines(factors: &[f64], event_ms: f64) -> Vec<fleet_model::ModelEngine> {
    let named = NAMES.iter().zip(factors);
    let engines = named.map(|(name, factor)| fleet_model::ModelEngine {
        name,
        slots: 16,
        queue: 48,
        event_ms,
        factor: *factor,
        models: vec!["m"],
    });
    engines.collect()
}

fn mix() -> fleet_model::CallMix {
    fleet_model::CallMix {
        per_s: 30,
        burst: 0..0,
        burst_factor: 1,
        model: "m",
        prompt_tokens: 646,
        events: 38,
        objective_ms: 500,
        deadline_ms: 12_000,
        gap_ms: 300,
    }
}

fn fleet(
    engines: Vec<fleet_model::ModelEngine>,
    mixes: Vec<fleet_model::CallMix>,
    seed: u64,
) -> fleet_model::FleetModel {
    fleet_model::FleetModel {
        engines,
        mixes,
        instances: 86,
        has_view: true,
        view_lost_ms: u64::MAX,
        length_ms: 70_000,
        warmup_ms: 25_000,
        seed,
    }
}

/// The popular model of fleet T: its calls come at five times their rate for 10 s, which its four engines
/// cannot carry.
fn burst(seed: u64) -> fleet_model::FleetModel {
    let burst = fleet_model::CallMix {
        burst: 30_000..40_000,
        burst_factor: 5,
        ..mix()
    };
    fleet(engines(&[1.0; 4], 41.0), vec![burst], seed)
}

/// Engines of fleet T whose speeds differ by a factor of 2.7, with short and long answers.
fn uneven(seed: u64) -> fleet_model::FleetModel {
    let factors = [
        0.5, 0.55, 0.7, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.25, 1.3, 1.35,
    ];
    let short = fleet_model::CallMix {
        per_s: 15,
        events: 30,
        deadline_ms: 6_000,
        ..mix()
    };
    let long = fleet_model::CallMix {
        per_s: 7,
        events: 110,
        ..mix()
    };
    fleet(engines(&factors, 90.0), vec![short, long], seed)
}

/// Short prompts with a tight objective beside the longest prompts of fleet T.
fn prompts(seed: u64) -> fleet_model::FleetModel {
    let short = fleet_model::CallMix { per_s: 20, ..mix() };
    let long = fleet_model::CallMix {
        per_s: 4,
        prompt_tokens: 4_700,
        objective_ms: 3_000,
        deadline_ms: 20_000,
        ..mix()
    };
    fleet(engines(&[1.0; 6], 41.0), vec![short, long], seed)
}

/// Returns the sends that engines turned away and the share of calls of each kind that were on time, over
/// three seeds.
fn replay(model: impl Fn(u64) -> fleet_model::FleetModel) -> (u32, Vec<f64>) {
    let outcomes = [1, 2, 3].map(|seed| model(seed).replay());
    println!("{outcomes:?}");
    let away = outcomes.iter().map(|outcome| outcome.turned_away).sum();
    let shares = (0..outcomes[0].mixes.len()).map(|mix| {
        let counts = outcomes.iter().map(|outcome| &outcome.mixes[mix]);
        let (calls, on_time) =
            counts.fold((0, 0), |sum, mix| (sum.0 + mix.calls, sum.1 + mix.on_time));
        f64::from(on_time) / f64::from(calls)
    });
    (away, shares.collect())
}

/// Instances that did not see each other's calls had up to 172 calls at a server with 16 slots, and 10,660
/// sends were turned away.
#[test]
fn burst_at_86_instances_is_not_turned_away_by_engines() {
    let (away, shares) = replay(burst);
    assert!(away <= 1_066, "{away} sends were turned away");
    assert!(shares[0] >= 0.09, "{shares:?}");
}

/// Without the speeds of engines, 11 % of the long answers and 23 % of the short ones were on time.
#[test]
fn long_answers_are_complete_in_time_on_uneven_engines() {
    let (_, shares) = replay(uneven);
    assert!(shares[0] >= 0.95, "{shares:?}");
    assert!(shares[1] >= 0.95, "{shares:?}");
}

/// Without the view of prompts, 36 % of the short prompts and 48 % of the long ones were on time.
#[test]
fn short_and_long_prompts_are_on_time_together() {
    let (_, shares) = replay(prompts);
    assert!(shares[0] >= 0.75, "{shares:?}");
    assert!(shares[1] >= 0.80, "{shares:?}");
}

/// The view is lost shortly before the counted calls arrive. All instances sent their calls to the fastest
/// engines then, which turned 1,408 of them away.
#[test]
fn speeds_of_engines_are_used_by_all_instances_after_the_view_is_lost() {
    let (away, shares) = replay(|seed| fleet_model::FleetModel {
        view_lost_ms: 20_000,
        ..uneven(seed)
    });
    assert_eq!(away, 0);
    assert!(shares[0] >= 0.95, "{shares:?}");
    assert!(shares[1] >= 0.90, "{shares:?}");
}

/// Calls on equal and lightly loaded engines, or on a single one, are as much on time as without a view.
#[test]
fn light_load_on_equal_engines_is_served_without_any_late_call() {
    for count in [1, 4] {
        let light = |has_view| fleet_model::FleetModel {
            has_view,
            ..fleet(
                engines(&[1.0; 4][..count], 41.0),
                vec![fleet_model::CallMix { per_s: 4, ..mix() }],
                1,
            )
        };
        for model in [light(true), light(false)] {
            let outcome = model.replay();
            let mix = &outcome.mixes[0];
            assert_eq!((mix.on_time, mix.refused), (mix.calls, 0), "{outcome:?}");
        }
    }
}

/// A single instance knows all unread prompts exactly; without their bound 16 short and 2 long prompts made a
/// stream pause too long.
#[test]
fn single_instance_lets_no_prompt_make_a_stream_pause_too_long() {
    let (_, shares) = replay(|seed| fleet_model::FleetModel {
        instances: 1,
        ..prompts(seed)
    });
    assert!(shares.iter().all(|share| *share >= 1.0), "{shares:?}");
}
