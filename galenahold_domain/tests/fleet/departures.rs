//! What the replicated state remembers of servers that leave.

use galenahold_domain::{fleet, name};

use crate::fixture;

const MINUTE_MS: u64 = 60_000;

#[test]
fn departure_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut ledger = fleet::DepartureLedger::default();
    let left = fixture::departure("a", 20, fleet::DepartureStage::Left);
    ledger.record(left.clone(), 1);
    ledger.record(fixture::departure("a", 10, fleet::DepartureStage::Left), 2);
    ledger.record(
        fixture::departure("a", 20, fleet::DepartureStage::Draining),
        3,
    );
    assert_eq!(ledger.departures().collect::<Vec<_>>(), [&left]);
}

#[test]
fn departure_is_forgotten_after_its_retention_time_and_can_be_recorded_again() {
    let mut ledger = fleet::DepartureLedger::default();
    let left = fixture::departure("a", 10, fleet::DepartureStage::Left);
    ledger.record(left.clone(), MINUTE_MS);
    ledger.record(
        fixture::departure("b", 10, fleet::DepartureStage::Left),
        10 * MINUTE_MS,
    );
    assert!(ledger.holds(&left));
    ledger.record(
        fixture::departure("c", 10, fleet::DepartureStage::Left),
        12 * MINUTE_MS,
    );
    assert!(!ledger.holds(&left));
    ledger.record(left.clone(), 12 * MINUTE_MS);
    assert!(ledger.holds(&left));
}

#[test]
fn clock_that_goes_back_forgets_no_departure() {
    let mut ledger = fleet::DepartureLedger::default();
    ledger.record(
        fixture::departure("a", 10, fleet::DepartureStage::Left),
        20 * MINUTE_MS,
    );
    let left = fixture::departure("b", 10, fleet::DepartureStage::Left);
    ledger.record(left.clone(), MINUTE_MS);
    ledger.record(
        fixture::departure("c", 10, fleet::DepartureStage::Left),
        21 * MINUTE_MS,
    );
    assert!(ledger.holds(&left));
}

#[test]
fn table_forgets_the_first_departure_beyond_its_bound() {
    let mut table = fleet::DepartureTable::default();
    for number in 0..=fleet::DepartureTable::MAX_ENTRIES {
        let server = format!("s{number}");
        table.record(fixture::departure(&server, 10, fleet::DepartureStage::Left));
    }
    assert_eq!(table.iter().count(), fleet::DepartureTable::MAX_ENTRIES);
    assert!(table.get(&name::ServerName::from("s0")).is_none());
    assert!(table.get(&name::ServerName::from("s1")).is_some());
}
