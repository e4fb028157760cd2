//! Preferences of the policies, and protection against starvation.

use std::time;

use galenahold_domain::{amount, intent};
use galenahold_placement::policy::{KeepAlive, LoadOrder};
use galenahold_placement::{budget, demand, policy};
use proptest::prelude::*;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn candidate(waiting: u32, oldest_wait: time::Duration) -> policy::LoadCandidate {
    policy::LoadCandidate {
        waiting,
        fair_waiting: f64::from(waiting),
        oldest_wait,
        expected_load: SECOND,
    }
}

#[test]
fn old_request_eventually_outranks_many_new_ones() {
    let order = policy::WaitingWeighted::default();
    let many_new = order.score(&candidate(100, SECOND));
    assert!(order.score(&candidate(1, SECOND)) < many_new);
    assert!(order.score(&candidate(1, 30 * SECOND)) > many_new);
}

#[test]
fn regularly_used_model_is_kept_past_its_gap_and_a_rare_one_is_not() {
    let policy = policy::HistogramKeepAlive::default();
    let mut regular = demand::ArrivalHistory::default();
    let mut rare = demand::ArrivalHistory::default();
    for _ in 0..20 {
        regular.record(60 * SECOND);
        rare.record(20_000 * SECOND);
    }
    let replica = |history| policy::IdleReplica {
        history,
        idle: time::Duration::ZERO,
        reload: 5 * SECOND,
        bytes: amount::ByteCount(1),
    };
    assert!(policy.keep_alive_time(&replica(&regular)) >= Some(60 * SECOND));
    assert!(policy.keep_alive_time(&replica(&rare)) < Some(60 * SECOND));
    assert!(policy.retention_value(&replica(&regular)) > policy.retention_value(&replica(&rare)));
}

#[test]
fn adapter_with_a_very_short_load_time_is_kept_for_a_while() {
    let policy = policy::HistogramKeepAlive::default();
    let mut history = demand::ArrivalHistory::default();
    for _ in 0..20 {
        history.record(600 * SECOND);
    }
    let replica = policy::IdleReplica {
        history: &history,
        idle: time::Duration::ZERO,
        reload: time::Duration::from_millis(10),
        bytes: amount::ByteCount(1),
    };
    assert!(policy.keep_alive_time(&replica) >= Some(10 * SECOND));
}

proptest! {
    #[test]
    fn store_budget_never_exceeds_its_starts_per_second(
        pauses in prop::collection::vec(0_u64..400, 1..200),
    ) {
        let limits = intent::StoreLimits::default();
        let mut budget = budget::StoreBudget::new(limits.clone());
        let mut now = time::Instant::now();
        let mut starts: Vec<time::Instant> = Vec::new();
        for pause in pauses {
            now += time::Duration::from_millis(pause);
            if budget.allows_model_load(now) {
                budget.start_model_load(now);
                budget.end_model_load();
                starts.push(now);
            }
        }
        for first in 0..starts.len() {
            let within = starts[first..].iter().take_while(|at| **at - starts[first] < SECOND);
            prop_assert!(within.count() <= limits.loads_per_second as usize);
        }
    }
}
