//! Attempts beyond the first keep to a share of the calls.

use galenahold_domain::name;
use galenahold_routing::fleet;

fn service(name: &str) -> name::ServiceName {
    name::ServiceName::from(name)
}

#[test]
fn retries_keep_to_their_share_however_many_calls_fail() {
    let desk = service("desk");
    let mut purse = fleet::RetryPurse::new(0.125, 5.0);
    let mut spent = 0;
    for _ in 0..1_000 {
        purse.earn(&desk);
        while purse.spend(&desk) {
            spent += 1;
        }
    }
    assert_eq!(spent, 5 + 124);
}

#[test]
fn smaller_purse_takes_effect_at_once() {
    let desk = service("desk");
    let mut purse = fleet::RetryPurse::new(0.1, 5.0);
    purse.earn(&desk);
    purse.set_most(1.0);
    assert!(purse.spend(&desk));
    assert!(!purse.spend(&desk));
}

#[test]
fn failing_service_spends_nothing_of_another_one() {
    let (desk, models) = (service("desk"), service("models"));
    let mut purse = fleet::RetryPurse::new(0.1, 1.0);
    while purse.spend(&desk) {}
    assert!(purse.spend(&models));
}
