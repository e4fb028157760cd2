//! Updates are batched for followers without waiting requests.

use std::time;

use galenahold_domain::{fleet, name};

use crate::fixture;

const INTERVAL: time::Duration = time::Duration::from_millis(400);
const CHANGE_EVERY: time::Duration = time::Duration::from_millis(90);
const SPAN: time::Duration = time::Duration::from_secs(9);

/// Returns a notice of a server that holds one model, which differs for each sequence.
fn holding(sequence: u64) -> fleet::ServerNotice {
    let mut notice = fixture::notice("a", 10, sequence);
    notice.models = vec![fleet::HeldModel {
        name: name::ModelName::from(format!("m{sequence}")),
        version: 1,
        retiring: false,
    }];
    notice
}

/// Returns how many updates a follower gets while an engine changes models every 90 ms for 9 s.
fn update_count(urgent: bool) -> u32 {
    let throttle = fleet::RosterThrottle::new(INTERVAL);
    let begin = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, begin);
    roster.take(holding(1), begin);
    let mut view = fleet::RosterView::default();
    view.take(
        roster
            .update_since(view.cursor(), begin)
            .expect("a new view needs an update"),
    );
    let (mut updates, mut asked_at, mut now) = (0, begin, begin);
    for sequence in 2.. {
        now += CHANGE_EVERY;
        if now > begin + SPAN {
            break;
        }
        roster.take(holding(sequence), now);
        let delay = throttle.delay(view.cursor(), roster.cursor(now), urgent, now - asked_at);
        if delay == Some(time::Duration::ZERO) {
            updates += 1;
            asked_at = now;
            view.take(roster.update_since(view.cursor(), now).expect("an update"));
        }
    }
    updates
}

#[test]
fn follower_without_waiting_requests_gets_batched_updates() {
    let max_updates = u32::try_from(SPAN.as_millis() / INTERVAL.as_millis()).expect("small");
    assert!(update_count(false) <= max_updates);
}

#[test]
fn follower_with_waiting_requests_gets_each_change() {
    assert_eq!(update_count(true), 100);
}

#[test]
fn update_of_another_leader_is_not_delayed() {
    let throttle = fleet::RosterThrottle::new(INTERVAL);
    let cursor = fleet::RosterCursor {
        term: 1,
        version: 7,
        settled: true,
    };
    let latest = fleet::RosterCursor { term: 2, ..cursor };
    let at_once = Some(time::Duration::ZERO);
    assert_eq!(
        throttle.delay(cursor, latest, false, time::Duration::ZERO),
        at_once
    );
    assert_eq!(throttle.delay(latest, latest, true, INTERVAL), None);
}
