//! Attempts beyond the first keep to a share of the calls.

use galenahold_routing::fleet;

#[test]
fn retries_keep_to_their_share_however_many_calls_fail() {
    let mut purse = fleet::RetryPurse::new(0.125, 5.0);
    let mut spent = 0;
    for _ in 0..1_000 {
        purse.earn();
        while purse.spend() {
            spent += 1;
        }
    }
    assert_eq!(spent, 5 + 124);
}

#[test]
fn smaller_purse_takes_effect_at_once() {
    let mut purse = fleet::RetryPurse::new(0.1, 5.0);
    purse.set_most(1.0);
    assert!(purse.spend());
    assert!(!purse.spend());
}
