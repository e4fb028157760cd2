//! A view keeps its servers when the leader changes, and a leader that has not yet received all
//! notices removes none of them.

use std::time;

use galenahold_domain::{fleet, name};

use crate::fixture;

fn names(view: &fleet::RosterView) -> Vec<String> {
    view.records()
        .map(|record| record.name.to_string())
        .collect()
}

/// Applies the update that the view lacks, if there is one.
fn follow(view: &mut fleet::RosterView, roster: &fleet::ServerRoster, now: time::Instant) {
    if let Some(update) = roster.update_since(view.cursor(), now) {
        view.take(update);
    }
}

/// Returns a view that has the servers `a` and `b` from the leader of term 1.
fn view_of_two_servers(now: time::Instant) -> fleet::RosterView {
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    roster.take(fixture::with_address(fixture::notice("b", 10, 1), 2), now);
    let mut view = fleet::RosterView::default();
    follow(&mut view, &roster, now);
    view
}

#[test]
fn new_leader_removes_no_server_before_its_roster_has_settled() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let mut roster = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 2), now);
    follow(&mut view, &roster, now);
    assert_eq!(names(&view), ["a", "b"]);
    let settled = now + fixture::PERIOD * 10;
    follow(&mut view, &roster, settled);
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn leave_reaches_views_from_a_leader_that_does_not_know_the_server() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let mut roster = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    let departure = roster.leave(&name::ServerName::from("b"), 99, now);
    assert_eq!(departure.stage, fleet::DepartureStage::Left);
    follow(&mut view, &roster, now);
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn earlier_start_from_another_leader_does_not_replace_a_later_one() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let mut roster = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 9, 50), now);
    follow(&mut view, &roster, now);
    let server = view
        .get(&name::ServerName::from("a"))
        .expect("the server is known");
    assert_eq!(server.started_ms, 10);
}

#[test]
fn update_contains_only_changed_servers() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    let cursor = roster.cursor(now);
    roster.take(fixture::with_address(fixture::notice("b", 10, 1), 2), now);
    let update = roster
        .update_since(cursor, now)
        .expect("the roster has changed");
    assert!(!update.whole);
    let changed: Vec<_> = update.records.iter().map(|change| &*change.name).collect();
    assert_eq!(changed, ["b"]);
}

fn with_copies(server: &str, sequence: u64, on_disk: &[&str]) -> fleet::ServerNotice {
    let mut notice = fixture::notice(server, 10, sequence);
    let names = on_disk.iter().map(|name| name::ModelName::from(*name));
    notice.copies = fleet::WeightCopies::new(Vec::new(), names.collect());
    notice
}

#[test]
fn reordered_copies_produce_no_update() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(with_copies("a", 1, &["m", "n"]), now);
    let cursor = roster.cursor(now);
    let outcome = roster.take(with_copies("a", 2, &["n", "m"]), now);
    assert_eq!(outcome, fleet::NoticeOutcome::Confirmed);
    assert_eq!(roster.update_since(cursor, now), None);
}

#[test]
fn update_contains_copies_only_if_they_changed() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    let mut view = fleet::RosterView::default();
    roster.take(with_copies("a", 1, &["m"]), now);
    follow(&mut view, &roster, now);
    roster.take(fixture::into_draining(with_copies("a", 2, &["m"])), now);
    let update = roster
        .update_since(view.cursor(), now)
        .expect("the roster has changed");
    assert_eq!(update.records[0].copies, None);
    assert_eq!(update.records[0].origin, None);
    view.take(update);
    let known = view
        .get(&name::ServerName::from("a"))
        .expect("the server is known");
    assert!(known.copies.are_on_disk(&name::ModelName::from("m")));
    assert!(!known.is_open());
    roster.take(
        fixture::into_draining(with_copies("a", 3, &["m", "n"])),
        now,
    );
    follow(&mut view, &roster, now);
    let known = view
        .get(&name::ServerName::from("a"))
        .expect("the server is known");
    assert!(known.copies.are_on_disk(&name::ModelName::from("n")));
}

#[test]
fn restarted_server_keeps_no_copies_of_its_earlier_start() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    let mut view = fleet::RosterView::default();
    roster.take(with_copies("a", 1, &["m"]), now);
    follow(&mut view, &roster, now);
    roster.take(fixture::notice("a", 20, 1), now);
    follow(&mut view, &roster, now);
    let known = view
        .get(&name::ServerName::from("a"))
        .expect("the server is known");
    assert_eq!(known.copies, fleet::WeightCopies::default());
}

#[test]
fn view_requests_a_whole_update_after_an_incomplete_change() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    let cursor = roster.cursor(now);
    roster.take(fixture::into_draining(fixture::notice("a", 10, 2)), now);
    let update = roster
        .update_since(cursor, now)
        .expect("the roster has changed");
    let mut view = fleet::RosterView::default();
    view.take(update);
    assert_eq!(names(&view), [""; 0]);
    follow(&mut view, &roster, now);
    assert_eq!(names(&view), ["a"]);
}

/// Guards against using a server that has left, or is about to, after a change of leader: the new
/// leader knows neither and may take a notice that was delayed on its way.
#[test]
fn delayed_notice_at_a_new_leader_does_not_bring_back_a_server_that_left() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    roster.take(fixture::with_address(fixture::notice("b", 10, 1), 2), now);
    let mut view = fleet::RosterView::default();
    follow(&mut view, &roster, now);
    let mut draining = fixture::notice("a", 10, 2);
    draining.stage = fleet::ServerStage::Draining;
    roster.take(draining, now);
    roster.leave(&name::ServerName::from("b"), 99, now);
    follow(&mut view, &roster, now);

    let mut next = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    next.take(fixture::notice("a", 10, 1), now);
    next.take(fixture::with_address(fixture::notice("b", 10, 1), 2), now);
    follow(&mut view, &next, now);
    assert_eq!(names(&view), ["a"]);
    let server = view.get(&name::ServerName::from("a"));
    let server = server.expect("the server is known");
    assert_eq!(server.stage, fleet::ServerStage::Draining);

    next.take(fixture::with_address(fixture::notice("b", 11, 1), 2), now);
    follow(&mut view, &next, now);
    assert_eq!(names(&view), ["a", "b"], "a restarted server is used again");
}

#[test]
fn server_that_was_only_out_of_contact_returns_without_a_restart() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    let mut view = fleet::RosterView::default();
    follow(&mut view, &roster, now);
    let later = now + fleet::ServerRoster::RETENTION;
    roster.expire(later);
    follow(&mut view, &roster, later);
    assert_eq!(names(&view), [""; 0]);
    roster.take(fixture::notice("a", 10, 2), later);
    follow(&mut view, &roster, later);
    assert_eq!(names(&view), ["a"]);
}

/// Guards against requests to servers whose departure the lost leader alone had acknowledged.
#[test]
fn departures_that_were_committed_reach_views_before_the_next_leader_settles() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let mut ledger = fleet::DepartureLedger::default();
    ledger.record(
        fixture::departure("a", 10, fleet::DepartureStage::Draining),
        1,
    );
    ledger.record(fixture::departure("b", 10, fleet::DepartureStage::Left), 1);
    let mut next = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    next.adopt(ledger.departures(), now);
    follow(&mut view, &next, now);
    assert!(!view.is_settled());
    assert_eq!(names(&view), ["a"]);
    let server = view.get(&name::ServerName::from("a"));
    assert!(!server.expect("the server is known").is_open());

    next.take(fixture::notice("a", 10, 1), now);
    let server = next.get(&name::ServerName::from("a"));
    assert!(!server.expect("the server is known").is_open());
    next.take(fixture::notice("a", 11, 1), now);
    follow(&mut view, &next, now);
    let server = view.get(&name::ServerName::from("a"));
    assert!(
        server.expect("the server is known").is_open(),
        "a restarted server is used again"
    );
}

#[test]
fn drain_whose_notice_was_overtaken_still_closes_the_server() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 3), now);
    let late = roster.take(fixture::into_draining(fixture::notice("a", 10, 2)), now);
    assert_eq!(late, fleet::NoticeOutcome::Late);
    let server = roster.get(&name::ServerName::from("a"));
    assert!(!server.expect("the server is known").is_open());
}

/// Guards against taking a restarted server that the next leader has not heard of for the start that
/// left before.
#[test]
fn restarted_server_that_was_out_of_contact_returns_after_a_change_of_leader() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let left = fixture::departure("b", 5, fleet::DepartureStage::Left);
    let mut next = fleet::ServerRoster::new(2, fixture::PERIOD, now);
    next.adopt([&left].into_iter(), now);
    next.take(fixture::notice("a", 10, 2), now);
    let settled = now + fixture::PERIOD * 10;
    follow(&mut view, &next, settled);
    assert_eq!(names(&view), ["a"]);
    next.take(
        fixture::with_address(fixture::notice("b", 10, 2), 2),
        settled,
    );
    follow(&mut view, &next, settled);
    assert_eq!(names(&view), ["a", "b"]);
}

/// The view heard from the server itself, and the leader lists it as open, now and after a change of the leader.
#[test]
fn server_that_was_closed_by_its_own_answer_stays_closed_until_its_next_start() {
    let now = time::Instant::now();
    let mut view = view_of_two_servers(now);
    let departure = fixture::departure("a", 10, fleet::DepartureStage::Draining);
    assert!(view.close(departure.clone()));
    assert!(!view.close(departure));
    let is_open = |view: &fleet::RosterView| {
        let record = view.get(&name::ServerName::from("a"));
        record.is_some_and(fleet::ServerRecord::is_open)
    };
    for term in 2..4 {
        let mut roster = fleet::ServerRoster::new(term, fixture::PERIOD, now);
        roster.take(fixture::notice("a", 10, term), now);
        follow(&mut view, &roster, now);
        assert!(!is_open(&view), "opened in term {term}");
    }
    let mut roster = fleet::ServerRoster::new(4, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 11, 1), now);
    follow(&mut view, &roster, now);
    assert!(is_open(&view));
}

/// Each of many instances reports what a server told it; the leader closes the server once, also for late notices.
#[test]
fn departures_that_many_instances_report_change_the_roster_once() {
    let now = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, now);
    roster.take(fixture::notice("a", 10, 1), now);
    let departure = fixture::departure("a", 10, fleet::DepartureStage::Draining);
    roster.depart(departure.clone(), now);
    let version = roster.cursor(now).version;
    for _ in 0..195 {
        roster.depart(departure.clone(), now);
    }
    assert_eq!(roster.cursor(now).version, version);
    roster.take(fixture::notice("a", 10, 2), now);
    let record = roster.get(&name::ServerName::from("a"));
    assert!(record.is_some_and(|record| !record.is_open()));
}
