//! No order is sent to an engine that may have executed an order unknown to the leader.

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
        adapters: Vec::new(),
    }
}

/// Creates an order to an engine that holds the model `a` and the given adapters of it.
fn order(adapters: &[&str]) -> fleet::EngineOrder {
    let record = fixture::record("s1", &["a"], &[]);
    fleet::EngineOrder {
        number: 1,
        server: record.name,
        started_ms: record.started_ms,
        address: record.address,
        held: vec![fixture::model_name("a")],
        adapters: adapters
            .iter()
            .map(|adapter| fixture::adapter("a", adapter))
            .collect(),
        action: load(),
    }
}

fn load() -> fleet::OrderAction {
    fleet::OrderAction::LoadModel(fixture::model_name("c"))
}

/// Guards against an order that is sent while a load of an earlier leader is still ending. Found in
/// the run hunt-9b47-3 of pamoja-alama.
#[test]
fn engine_that_is_busy_with_an_earlier_leaders_load_gets_no_order() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(!queue.apply_report(&report(4, true, &["a"]), &order(&[]), now));
    assert!(!queue.is_open(now));
    assert_eq!(queue.accepted_orders(), None);
}

#[test]
fn engine_with_an_unknown_model_gets_no_order() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(!queue.apply_report(&report(4, false, &["a", "b"]), &order(&[]), now));
    assert_eq!(queue.accepted_orders(), None);
}

#[test]
fn accepted_orders_are_counted_from_the_report() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(queue.apply_report(&report(4, false, &["a"]), &order(&[]), now));
    queue.record_receipt(&load(), fleet::OrderReceipt::Accepted, now);
    queue.record_receipt(&load(), fleet::OrderReceipt::Done, now);
    assert_eq!(queue.accepted_orders(), Some(5));
}

#[test]
fn unanswered_order_pauses_the_queue() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(queue.apply_report(&report(4, false, &["a"]), &order(&[]), now));
    queue.record_receipt(&load(), fleet::OrderReceipt::Unanswered, now);
    assert!(!queue.is_open(now));
    assert_eq!(queue.accepted_orders(), None);
    assert!(queue.is_open(now + time::Duration::from_secs(1)));
}

/// Adapter orders carry the count of accepted orders too, so the engine may have refused one
/// because the count was wrong.
#[test]
fn refused_adapter_order_invalidates_the_count() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(queue.apply_report(&report(4, false, &["a"]), &order(&[]), now));
    let adapter = fleet::OrderAction::LoadAdapter(fixture::adapter("a", "x"));
    queue.record_receipt(&adapter, fleet::OrderReceipt::Busy, now);
    assert!(!queue.is_open(now));
    assert_eq!(queue.accepted_orders(), None);
    assert!(queue.is_open(now + time::Duration::from_millis(200)));
}

/// Guards against ordering one adapter more than an engine has slots: an adapter that an earlier
/// leader had ordered arrived after the engine's first report to the new leader. Found in the run
/// scale-1 of asennau-cymru-grown.
#[test]
fn engine_with_an_unknown_adapter_gets_no_order() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    let mut found = report(9, false, &["a"]);
    found.adapters = vec![fixture::adapter("a", "x"), fixture::adapter("a", "y")];
    assert!(!queue.apply_report(&found, &order(&["x"]), now));
    assert_eq!(queue.accepted_orders(), None);
    let later = now + time::Duration::from_secs(1);
    assert!(queue.apply_report(&found, &order(&["x", "y"]), later));
    assert_eq!(queue.accepted_orders(), Some(9));
}

#[test]
fn new_leadership_resets_the_count() {
    let now = time::Instant::now();
    let mut queue = fleet::OrderQueue::default();
    queue.begin_term(2, 1);
    assert!(queue.apply_report(&report(4, false, &["a"]), &order(&[]), now));
    queue.begin_term(3, 1);
    assert_eq!(queue.accepted_orders(), None);
}
