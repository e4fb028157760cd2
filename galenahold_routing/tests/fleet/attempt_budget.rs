//! The attempt budget limits extra attempts to a fraction of the calls.

use galenahold_domain::name;
use galenahold_routing::fleet;

fn service(name: &str) -> name::ServiceName {
    name::ServiceName::from(name)
}

#[test]
fn retries_stay_within_their_share_when_every_call_fails() {
    let helpdesk = service("desk");
    let mut budget = fleet::AttemptBudget::new(0.125, 5.0);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(&helpdesk);
        while budget.spend(&helpdesk) {
            spent += 1;
        }
    }
    assert_eq!(spent, 5 + 124);
}

#[test]
fn smaller_capacity_takes_effect_at_once() {
    let helpdesk = service("desk");
    let mut budget = fleet::AttemptBudget::new(0.1, 5.0);
    budget.earn(&helpdesk);
    budget.set_capacity(1.0);
    assert!(budget.spend(&helpdesk));
    assert!(!budget.spend(&helpdesk));
}

#[test]
fn failing_service_does_not_spend_the_budget_of_another() {
    let (helpdesk, models) = (service("desk"), service("models"));
    let mut budget = fleet::AttemptBudget::new(0.1, 1.0);
    while budget.spend(&helpdesk) {}
    assert!(budget.spend(&models));
}

/// Guards against calls that wait for a further attempt, are given up and use up the budget of others.
#[test]
fn attempt_that_is_not_made_is_given_back() {
    let mut budget = fleet::AttemptBudget::new(0.1, 1.0);
    let helpdesk = service("helpdesk");
    assert!(budget.spend(&helpdesk));
    budget.refund(&helpdesk);
    budget.refund(&helpdesk);
    assert!(budget.spend(&helpdesk));
    assert!(!budget.spend(&helpdesk), "a refund exceeds the capacity");
}
