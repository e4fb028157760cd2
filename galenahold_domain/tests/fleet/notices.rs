//! A notice is applied only if it is newer than the record of the server.

use std::time;

use galenahold_domain::{fleet, name};

use crate::fixture;

fn roster(now: time::Instant) -> fleet::ServerRoster {
    fleet::ServerRoster::new(1, fixture::PERIOD, now)
}

fn names(roster: &fleet::ServerRoster) -> Vec<String> {
    roster
        .records()
        .map(|record| record.name.to_string())
        .collect()
}

#[test]
fn notice_with_a_lower_sequence_changes_nothing() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::into_draining(fixture::notice("a", 10, 5)), now);
    let late = roster.take(fixture::notice("a", 10, 4), now);
    assert_eq!(late, fleet::NoticeOutcome::Late);
    assert!(!roster.records().next().expect("a known server").is_open());
}

#[test]
fn draining_lasts_until_the_next_start() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::into_draining(fixture::notice("a", 10, 5)), now);
    roster.take(fixture::notice("a", 10, 6), now);
    assert!(!roster.records().next().expect("a known server").is_open());
    roster.take(fixture::notice("a", 11, 1), now);
    assert!(roster.records().next().expect("a known server").is_open());
}

#[test]
fn notice_of_an_earlier_start_changes_nothing() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("a", 11, 1), now);
    let late = roster.take(fixture::notice("a", 10, 99), now);
    assert_eq!(late, fleet::NoticeOutcome::Late);
}

#[test]
fn departed_server_stays_removed_until_it_restarts() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("a", 10, 1), now);
    let departure = roster.leave(&name::ServerName::from("a"), 99, now);
    assert_eq!(departure.started_ms, 10);
    roster.take(fixture::notice("a", 10, 2), now);
    assert_eq!(names(&roster), Vec::<String>::new());
    roster.take(fixture::notice("a", 11, 1), now);
    assert_eq!(names(&roster), ["a"]);
}

/// Guards against taking the departure of a restarted server for a repeat of its earlier departure.
#[test]
fn departure_after_a_restart_that_the_leader_missed_ends_the_new_start() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("a", 10, 1), now);
    roster.leave(&name::ServerName::from("a"), 15, now);
    let departure = roster.leave(&name::ServerName::from("a"), 30, now);
    assert!(departure.ends(20));
    let late = roster.take(fixture::notice("a", 20, 1), now);
    assert_eq!(late, fleet::NoticeOutcome::Late);
    roster.take(fixture::notice("a", 40, 1), now);
    assert_eq!(names(&roster), ["a"]);
}

#[test]
fn server_with_the_latest_start_owns_the_address() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("old", 10, 1), now);
    roster.take(fixture::notice("new", 20, 1), now);
    assert_eq!(names(&roster), ["new"]);
    let delayed = roster.take(fixture::notice("old", 10, 2), now);
    assert_eq!(delayed, fleet::NoticeOutcome::Late);
    assert_eq!(names(&roster), ["new"]);
}

#[test]
fn silent_server_is_marked_and_kept() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("a", 10, 1), now);
    let before = roster.cursor(now);
    let later = now + fixture::PERIOD * 5;
    roster.expire(later);
    assert!(roster.records().next().expect("the server is kept").silent);
    assert!(roster.update_since(before, later).is_some());
    roster.take(fixture::notice("a", 10, 2), later);
    assert!(!roster.records().next().expect("the server is kept").silent);
}

#[test]
fn unchanged_notice_produces_no_update() {
    let now = time::Instant::now();
    let mut roster = roster(now);
    roster.take(fixture::notice("a", 10, 1), now);
    let cursor = roster.cursor(now);
    let outcome = roster.take(fixture::notice("a", 10, 2), now);
    assert_eq!(outcome, fleet::NoticeOutcome::Confirmed);
    assert_eq!(roster.update_since(cursor, now), None);
}
