//! The rules for reserving and adopting replicas.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::placement;

use crate::fixture;

#[test]
fn reservation_carries_the_fencing_number_of_its_commit() {
    let mut logged = fixture::LoggedTable::new();
    let reservation = logged
        .reserve(&fixture::request("s1", "m"))
        .expect("the reservation is accepted");
    assert_eq!(reservation.id, placement::ReservationId(1));
    assert_eq!(
        reservation.fence,
        amount::FencingNumber { term: 3, index: 1 }
    );
}

#[test]
fn reservations_of_all_states_and_incarnations_count_against_memory() {
    let mut logged = fixture::LoggedTable::new();
    logged.load(&fixture::request("s1", "m"));
    let mut later = fixture::request("s1", "n");
    later.incarnation = amount::IncarnationNumber(2);
    logged.load(&later);
    later.artifact = fixture::artifact("m", None);
    let mut third = fixture::request("s1", "n");
    third.incarnation = amount::IncarnationNumber(2);
    third.artifact.version = name::VersionName::from("2");
    logged.intent.models[1].version = name::VersionName::from("2");
    let refusal = logged
        .reserve(&third)
        .expect_err("80 of 100 bytes are taken");
    assert!(
        matches!(refusal, placement::ReservationRefusal::NoMemory { reserved, .. }
            if reserved == amount::ByteCount(80)),
        "{refusal}"
    );
    let server = name::ServerName::from("s1");
    assert_eq!(
        logged.table.retire(&server, amount::IncarnationNumber(2)),
        1
    );
    logged
        .reserve(&third)
        .expect("retiring the first incarnation freed its memory");
}

#[test]
fn adopted_replica_counts_even_beyond_the_limits() {
    let mut logged = fixture::LoggedTable::new();
    let mut found = fixture::request("s1", "m");
    found.bytes = amount::ByteCount(500);
    let adopted = logged.adopt(&found).expect("the replica is adopted");
    assert_eq!(adopted.state, placement::ReservationState::Loaded);
    assert_eq!(
        logged.adopt(&found).as_ref(),
        Ok(&adopted),
        "a repeat returns the same reservation"
    );
    assert_eq!(logged.table.len(), 1);
    assert!(logged.reserve(&fixture::request("s1", "n")).is_err());
    assert_eq!(logged.table.replica_count("m"), 1);
}

#[test]
fn second_model_order_is_refused_until_the_first_is_resolved() {
    let mut logged = fixture::LoggedTable::new();
    let first = logged
        .reserve(&fixture::request("s1", "m"))
        .expect("the reservation is accepted");
    let second = fixture::request("s1", "n");
    let refusal = logged
        .reserve(&second)
        .expect_err("the first order is unresolved");
    assert!(
        matches!(refusal, placement::ReservationRefusal::OrderUnresolved { id, .. } if id == first.id),
        "{refusal}"
    );
    logged
        .advance(first.id, placement::ReservationState::Loaded)
        .expect("the replica is loaded");
    let second = logged
        .reserve(&second)
        .expect("the first order is resolved");
    let unload = logged.advance(first.id, placement::ReservationState::Unloading);
    assert!(unload.is_err(), "the second order is unresolved");
    logged
        .advance(second.id, placement::ReservationState::Loaded)
        .expect("the replica is loaded");
    logged
        .advance(first.id, placement::ReservationState::Unloading)
        .expect("the second order is resolved");
}

#[test]
fn several_adapters_may_be_ordered_at_once_for_a_loaded_model() {
    let mut logged = fixture::LoggedTable::new();
    let x = fixture::adapter_request("s1", "x");
    let y = fixture::adapter_request("s1", "y");
    assert!(logged.reserve(&x).is_err(), "the model is not loaded");
    let base = logged
        .reserve(&fixture::request("s1", "m"))
        .expect("the reservation is accepted");
    assert!(logged.reserve(&x).is_err(), "the model is not loaded yet");
    logged
        .advance(base.id, placement::ReservationState::Loaded)
        .expect("the replica is loaded");
    let x = logged.reserve(&x).expect("the model is loaded");
    let y = logged
        .reserve(&y)
        .expect("several adapter orders may be unresolved");
    assert_ne!(x.id, y.id);
    logged
        .reserve(&fixture::request("s2", "m"))
        .expect("adapters do not count as replicas of the model");
}

#[test]
fn artifact_is_reserved_at_most_once_per_server() {
    let mut logged = fixture::LoggedTable::new();
    let id = logged.load(&fixture::request("s1", "m"));
    let refusal = logged
        .reserve(&fixture::request("s1", "m"))
        .expect_err("the artifact is already reserved");
    assert_eq!(
        refusal,
        placement::ReservationRefusal::DuplicateArtifact {
            server: name::ServerName::from("s1"),
            id
        }
    );
}

#[test]
fn replicas_in_all_states_count_against_max_replicas() {
    let mut logged = fixture::LoggedTable::new();
    let first = logged.load(&fixture::request("s1", "m"));
    logged
        .reserve(&fixture::request("s2", "m"))
        .expect("two replicas are allowed");
    logged
        .advance(first, placement::ReservationState::Unloading)
        .expect("a loaded replica may be unloaded");
    let third = fixture::request("s3", "m");
    assert!(
        logged.reserve(&third).is_err(),
        "the first replica may still be loaded"
    );
    assert!(logged.table.release(first));
    logged
        .reserve(&third)
        .expect("the first replica was released");
}

#[test]
fn lowering_max_replicas_refuses_only_new_reservations() {
    let mut logged = fixture::LoggedTable::new();
    let first = logged.load(&fixture::request("s1", "m"));
    logged.load(&fixture::request("s2", "m"));
    logged.intent.models[0].max_replicas = 1;
    assert_eq!(logged.table.replica_count("m"), 2);
    logged.table.release(first);
    assert!(logged.reserve(&fixture::request("s1", "m")).is_err());
}

#[test]
fn reservation_must_match_the_artifact_and_bytes_of_the_intent() {
    let mut logged = fixture::LoggedTable::new();
    let mut unknown = fixture::request("s1", "o");
    assert!(logged.reserve(&unknown).is_err(), "unknown model");
    unknown = fixture::request("s1", "m");
    unknown.artifact.version = name::VersionName::from("2");
    assert!(logged.reserve(&unknown).is_err(), "unknown version");
    let mut few = fixture::request("s1", "m");
    few.bytes = amount::ByteCount(39);
    assert!(logged.reserve(&few).is_err(), "too few bytes");
    let mut many = fixture::request("s1", "m");
    many.bytes = amount::ByteCount(u64::MAX);
    assert!(
        logged.reserve(&many).is_err(),
        "more bytes than the server has"
    );
}

#[test]
fn late_request_for_an_ended_incarnation_is_refused() {
    let mut logged = fixture::LoggedTable::new();
    let server = name::ServerName::from("s1");
    logged.table.retire(&server, amount::IncarnationNumber(2));
    let late = fixture::request("s1", "m");
    assert!(logged.reserve(&late).is_err());
    assert!(logged.adopt(&late).is_err());
}
