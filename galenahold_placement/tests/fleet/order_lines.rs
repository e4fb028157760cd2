//! No order goes out on top of one that is not known here.

use std::time;

use galenahold_placement::fleet;

use crate::fixture;

fn report(orders_taken: u64, busy: bool, models: &[&str]) -> fleet::EngineReport {
    fleet::EngineReport {
        orders_taken,
        busy,
        models: models
            .iter()
            .map(|name| fixture::model_name(name))
            .collect(),
    }
}

fn load() -> fleet::OrderAction {
    fleet::OrderAction::LoadModel(fixture::model_name("c"))
}

/// Replays hunted day hunt-9b47-3 of pamoja-alama: a load of an earlier leader ends just before the
/// first order of the next one.
#[test]
fn engine_that_is_busy_with_an_earlier_leaders_load_gets_no_order() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(!line.take_report(&report(4, true, &["a"]), &held, now));
    assert!(!line.is_open(now));
    assert_eq!(line.taken(), None);
}

#[test]
fn engine_that_holds_more_than_is_known_gets_no_order() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(!line.take_report(&report(4, false, &["a", "b"]), &held, now));
    assert_eq!(line.taken(), None);
}

#[test]
fn orders_are_counted_on_from_the_report() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(line.take_report(&report(4, false, &["a"]), &held, now));
    line.count(&load(), fleet::OrderReceipt::Accepted, now);
    line.count(&load(), fleet::OrderReceipt::Done, now);
    assert_eq!(line.taken(), Some(5));
}

#[test]
fn unanswered_order_closes_the_line_for_a_while() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(line.take_report(&report(4, false, &["a"]), &held, now));
    line.count(&load(), fleet::OrderReceipt::Unanswered, now);
    assert!(!line.is_open(now));
    assert_eq!(line.taken(), None);
    assert!(line.is_open(now + time::Duration::from_secs(1)));
}

#[test]
fn refused_adapter_says_nothing_of_the_count() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(line.take_report(&report(4, false, &["a"]), &held, now));
    let adapter = fleet::OrderAction::LoadAdapter(fixture::adapter("a", "x"));
    line.count(&adapter, fleet::OrderReceipt::Busy, now);
    assert!(line.is_open(now));
    assert_eq!(line.taken(), Some(4));
}

#[test]
fn another_leadership_counts_anew() {
    let now = time::Instant::now();
    let mut line = fleet::OrderLine::default();
    line.enter(2, 1);
    let held = [fixture::model_name("a")];
    assert!(line.take_report(&report(4, false, &["a"]), &held, now));
    line.enter(3, 1);
    assert_eq!(line.taken(), None);
}
