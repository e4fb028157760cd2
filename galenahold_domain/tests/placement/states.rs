//! Transitions between the states of a reservation.

use galenahold_domain::amount;
use galenahold_domain::placement;

use crate::fixture;

use placement::ReservationState::{Draining, Loaded, Ordered, Unloading};

#[test]
fn only_allowed_transitions_are_accepted() {
    let transitions = [
        (Ordered, vec![Ordered, Loaded]),
        (Loaded, vec![Loaded, Draining, Unloading]),
        (Draining, vec![Loaded, Draining, Unloading]),
        (Unloading, vec![Loaded, Unloading]),
    ];
    for (from, allowed) in transitions {
        for to in [Ordered, Loaded, Draining, Unloading] {
            assert_eq!(from.may_become(to), allowed.contains(&to), "{from} to {to}");
        }
    }
}

#[test]
fn refused_transition_leaves_the_reservation_unchanged() {
    let mut logged = fixture::LoggedTable::new();
    let before = logged
        .reserve(&fixture::request("s1", "m"))
        .expect("the reservation is accepted");
    let refusal = logged.advance(before.id, Unloading);
    assert!(refusal.is_err(), "the load order may still arrive");
    assert_eq!(logged.table.get(before.id), Some(&before));
}

#[test]
fn transition_records_the_fencing_number_and_the_sender() {
    let mut logged = fixture::LoggedTable::new();
    let id = logged.load(&fixture::request("s1", "m"));
    let reservation = logged
        .advance(id, Unloading)
        .expect("a loaded replica may be unloaded");
    assert_eq!(
        reservation.fence,
        amount::FencingNumber { term: 3, index: 3 }
    );
    assert_eq!(reservation.sender.as_str(), "control-2");
    assert_eq!(reservation.sender_incarnation, amount::IncarnationNumber(7));
}

#[test]
fn released_reservation_is_gone_from_all_lookups() {
    let mut logged = fixture::LoggedTable::new();
    let id = logged.load(&fixture::request("s1", "m"));
    let artifact = fixture::artifact("m", None);
    assert_eq!(logged.table.of_artifact(&artifact).count(), 1);
    assert!(logged.table.release(id));
    assert!(!logged.table.release(id), "a repeat releases nothing");
    assert_eq!(logged.table.of_artifact(&artifact).count(), 0);
    assert_eq!(logged.table.on_server("s1").count(), 0);
    assert!(logged.advance(id, Loaded).is_err());
}
