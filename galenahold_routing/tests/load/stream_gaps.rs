//! Measurement of the time between events of one stream.

use std::time;

use galenahold_routing::load;

const EVENT: time::Duration = time::Duration::from_millis(60);

#[test]
fn a_pause_of_the_server_does_not_change_the_median() {
    let mut observer = load::GapObserver::default();
    let mut now = time::Instant::now();
    let mut measured = Vec::new();
    for number in 0..19 {
        let gap = if (4..8).contains(&number) {
            EVENT * 5 / 2
        } else {
            EVENT
        };
        now += gap;
        measured.extend(observer.observe(1, time::Duration::ZERO, now));
    }
    assert_eq!(measured, [(60_000, 9), (60_000, 9)]);
}

#[test]
fn a_slow_caller_is_not_taken_for_a_slow_server() {
    let mut observer = load::GapObserver::default();
    let mut now = time::Instant::now();
    for _ in 0..30 {
        now += EVENT * 20;
        assert_eq!(observer.observe(1, EVENT * 20, now), None);
    }
    assert_eq!(observer.finish(), None);
}

#[test]
fn events_that_arrive_together_share_their_gap() {
    let mut observer = load::GapObserver::default();
    let mut now = time::Instant::now();
    for _ in 0..6 {
        now += EVENT * 2;
        assert_eq!(observer.observe(2, time::Duration::ZERO, now), None);
    }
    assert_eq!(observer.finish(), Some((60_000, 5)));
    assert_eq!(observer.finish(), None);
}
