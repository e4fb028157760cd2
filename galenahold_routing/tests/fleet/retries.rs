//! Attempts beyond the first keep to a share of the calls.

use galenahold_domain::name;
use galenahold_routing::fleet;

fn service(name: &str) -> name::ServiceName {
    name::ServiceName::from(name)
}

#[test]
fn retries_keep_to_their_share_however_many_calls_fail() {
    let handler = service("desk");
    let mut budget = fleet::AttemptBudget::new(0.125, 5.0);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(&handler);
        while budget.spend(&handler) {
            spent += 1;
        }
    }
    assert_eq!(spent, 5 + 124);
}

#[test]
fn smaller_purse_takes_effect_at_once() {
    let handler = service("desk");
    let mut budget = fleet::AttemptBudget::new(0.1, 5.0);
    budget.earn(&handler);
    budget.set_capacity(1.0);
    assert!(budget.spend(&handler));
    assert!(!budget.spend(&handler));
}

#[test]
fn failing_service_spends_nothing_of_another_one() {
    let (handler, models) = (service("desk"), service("models"));
    let mut budget = fleet::AttemptBudget::new(0.1, 1.0);
    while budget.spend(&handler) {}
    assert!(budget.spend(&models));
}
