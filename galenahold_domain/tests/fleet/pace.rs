//! Many followers of engines that change by the second hear of the changes together.

use std::time;

use galenahold_domain::{fleet, name};

use crate::fixture;

const REST: time::Duration = time::Duration::from_millis(400);
const CHANGE_EVERY: time::Duration = time::Duration::from_millis(90);
const SPAN: time::Duration = time::Duration::from_secs(9);

fn holding(sequence: u64) -> fleet::ServerNotice {
    let mut notice = fixture::notice("a", 10, sequence);
    notice.models = vec![fleet::HeldModel {
        name: name::ModelName::from(format!("m{sequence}")),
        version: 1,
        retiring: false,
    }];
    notice
}

/// Returns how often a follower is told while an engine changes models every 90 ms for 9 s.
fn times_told(in_hurry: bool) -> u32 {
    let pace = fleet::RosterThrottle::new(REST);
    let begin = time::Instant::now();
    let mut roster = fleet::ServerRoster::new(1, fixture::PERIOD, begin);
    roster.take(holding(1), begin);
    let mut view = fleet::RosterView::default();
    view.take(
        roster
            .update_since(view.mark(), begin)
            .expect("all of it is news"),
    );
    let (mut told, mut asked_at, mut now) = (0, begin, begin);
    for sequence in 2.. {
        now += CHANGE_EVERY;
        if now > begin + SPAN {
            break;
        }
        roster.take(holding(sequence), now);
        let delay = pace.delay(view.mark(), roster.mark(now), in_hurry, now - asked_at);
        if delay == Some(time::Duration::ZERO) {
            told += 1;
            asked_at = now;
            view.take(roster.update_since(view.mark(), now).expect("it is news"));
        }
    }
    told
}

#[test]
fn follower_without_waiting_requests_hears_of_changes_together() {
    let most = u32::try_from(SPAN.as_millis() / REST.as_millis()).expect("small");
    assert!(times_told(false) <= most);
}

#[test]
fn follower_with_waiting_requests_hears_of_each_change() {
    assert_eq!(times_told(true), 100);
}

#[test]
fn news_of_another_leader_is_not_held_back() {
    let pace = fleet::RosterThrottle::new(REST);
    let mark = fleet::RosterCursor {
        term: 1,
        version: 7,
        settled: true,
    };
    let own = fleet::RosterCursor { term: 2, ..mark };
    let at_once = Some(time::Duration::ZERO);
    assert_eq!(pace.delay(mark, own, false, time::Duration::ZERO), at_once);
    assert_eq!(pace.delay(own, own, true, REST), None);
}
