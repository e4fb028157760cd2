//! Requests that may have run are not retried, and retries stay within their budget.

use std::time;

use galenahold_domain::verdict::RequestVerdict;
use galenahold_routing::retry;
use proptest::prelude::*;
use rand::SeedableRng;

const PAUSE: time::Duration = time::Duration::from_millis(10);
const TIME_LEFT: time::Duration = time::Duration::from_secs(1);

#[test]
fn request_that_may_have_run_is_sent_again_only_when_idempotent() {
    let rule = retry::RetryRule::default();
    let decide = |verdict, idempotent| rule.decide(verdict, idempotent, 1, PAUSE, TIME_LEFT);
    let again = retry::RetryDecision::Retry { pause: PAUSE };
    let never = retry::RetryDecision::NotRepeatable;
    assert_eq!(decide(RequestVerdict::NotRun, false), again);
    assert_eq!(decide(RequestVerdict::MayHaveRun, false), never);
    assert_eq!(decide(RequestVerdict::MayHaveRun, true), again);
    assert_eq!(decide(RequestVerdict::Ran, true), never);
}

#[test]
fn attempts_and_deadline_bound_retries() {
    let rule = retry::RetryRule::new(2);
    let verdict = RequestVerdict::NotRun;
    let exhausted = rule.decide(verdict, true, 2, PAUSE, TIME_LEFT);
    assert_eq!(exhausted, retry::RetryDecision::AttemptsExhausted);
    let late = rule.decide(verdict, true, 1, PAUSE, PAUSE);
    assert_eq!(late, retry::RetryDecision::DeadlineTooNear);
}

#[test]
fn budget_bounds_retries_to_its_fraction_when_everything_fails() {
    let now = time::Instant::now();
    let mut budget = retry::RetryBudget::new(20, 0, now);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw(now));
    }
    assert!((190..=200).contains(&retries), "{retries}");
}

proptest! {
    #[test]
    fn pause_stays_between_base_and_cap(seed in any::<u64>()) {
        let base = time::Duration::from_millis(10);
        let cap = time::Duration::from_millis(500);
        let mut backoff = retry::RetryBackoff::new(base, cap);
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        for _ in 0..50 {
            let pause = backoff.next_pause(&mut rng);
            prop_assert!((base..=cap).contains(&pause));
        }
    }
}
