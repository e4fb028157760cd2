//! Many followers of engines that change by the second hear of the changes together.

use std::time;

use galenahold_domain::{fleet, name};

use crate::fixture;

const MIN_INTERVAL: time::Duration = time::Duration::from_millis(400);
const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(90);
const DURATION: time::Duration = time::Duration::from_secs(9);

fn notice_with_new_model(sequence: u64) -> fleet::ServerNotice {
    let mut notice = fixture::notice("a", 10, sequence);
    notice.models = vec![fleet::HeldModel {
        name: name::ModelName::from(format!("m{sequence}")),
        version: 1,
        retiring: false,
    }];
    notice
}

/// Returns how often a follower is told while an engine changes models every 90 ms for 9 s.
fn update_count(urgent: bool) -> u32 {
    let throttle = fleet::RosterThrottle::new(MIN_INTERVAL);
    let begin = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, begin);
    roster.take(notice_with_new_model(1), begin);
    let mut view = fleet::RosterView::default();
    view.take(
        roster
            .update_since(view.mark(), begin)
            .expect("all of it is news"),
    );
    let (mut updates, mut asked_at, mut now) = (0, begin, begin);
    for sequence in 2.. {
        now += CHANGE_INTERVAL;
        if now > begin + DURATION {
            break;
        }
        roster.take(notice_with_new_model(sequence), now);
        let delay = throttle.delay(view.mark(), roster.mark(now), urgent, now - asked_at);
        if delay == Some(time::Duration::ZERO) {
            updates += 1;
            asked_at = now;
            view.take(roster.update_since(view.mark(), now).expect("it is news"));
        }
    }
    updates
}

#[test]
fn follower_without_waiting_requests_gets_batched_updates() {
    let max_updates =
        u32::try_from(DURATION.as_millis() / MIN_INTERVAL.as_millis()).expect("small");
    assert!(update_count(false) <= max_updates);
}

#[test]
fn follower_with_waiting_requests_gets_each_change() {
    assert_eq!(update_count(true), 100);
}

#[test]
fn update_of_another_leader_is_not_delayed() {
    let throttle = fleet::RosterThrottle::new(MIN_INTERVAL);
    let mark = fleet::RosterCursor {
        term: 1,
        version: 7,
        settled: true,
    };
    let latest = fleet::RosterCursor { term: 2, ..mark };
    let immediately = Some(time::Duration::ZERO);
    assert_eq!(
        throttle.delay(mark, latest, false, time::Duration::ZERO),
        immediately
    );
    assert_eq!(throttle.delay(latest, latest, true, MIN_INTERVAL), None);
}
