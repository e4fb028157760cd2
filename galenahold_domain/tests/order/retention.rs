//! How long the ledger keeps records and keys, and what it refuses when it is full.

use galenahold_domain::order;

use crate::fixture;

/// Starts an order and, if an attempt began, finishes it with an answer.
fn run_order(
    ledger: &mut order::OrderLedger,
    team: &str,
    key: &str,
    now_ms: u64,
) -> order::OrderStart {
    let key = fixture::key(team, key);
    let owner = fixture::owner("entry-1", 1, now_ms);
    let start = ledger.start(&key, fixture::DIGEST, &owner, now_ms);
    if let order::OrderStart::Begun { attempt } = start {
        ledger.finish(&key, attempt, &fixture::answered(b"cast"), now_ms);
    }
    start
}

fn is_begun(start: &order::OrderStart) -> bool {
    matches!(start, order::OrderStart::Begun { .. })
}

/// Starts an order of the team `mkoani` from another instance.
fn repeat_order(ledger: &mut order::OrderLedger, key: &str, now_ms: u64) -> order::OrderStart {
    let key = fixture::key("mkoani", key);
    let owner = fixture::owner("entry-2", 1, now_ms);
    ledger.start(&key, fixture::DIGEST, &owner, now_ms)
}

#[test]
fn key_older_than_the_window_is_refused_and_never_runs_again() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    run_order(&mut ledger, "mkoani", "casting-1", 0);
    assert_eq!(
        repeat_order(&mut ledger, "casting-1", 99),
        order::OrderStart::Answered(fixture::answer(b"cast"))
    );
    assert_eq!(
        repeat_order(&mut ledger, "casting-1", 100),
        order::OrderStart::Expired
    );
    assert_eq!(
        repeat_order(&mut ledger, "casting-1", 1_000_000),
        order::OrderStart::Expired
    );
}

#[test]
fn clock_that_goes_back_does_not_shorten_retention() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    run_order(&mut ledger, "mkoani", "casting-1", 1_000);
    run_order(&mut ledger, "mkoani", "casting-2", 0);
    assert_eq!(
        repeat_order(&mut ledger, "casting-2", 1_050),
        order::OrderStart::Answered(fixture::answer(b"cast"))
    );
}

#[test]
fn order_that_did_not_run_is_dropped_and_may_start_again() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    let key = fixture::key("mkoani", "casting-1");
    let owner = fixture::owner("entry-1", 1, 1);
    ledger.start(&key, fixture::DIGEST, &owner, 0);
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 0);
    assert_eq!(
        repeat_order(&mut ledger, "casting-1", 100),
        fixture::begun(2)
    );
}

#[test]
fn late_finish_of_a_dropped_attempt_does_not_end_a_later_one() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    let key = fixture::key("mkoani", "casting-1");
    let owner = fixture::owner("entry-1", 1, 1);
    ledger.start(&key, fixture::DIGEST, &owner, 0);
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 0);
    repeat_order(&mut ledger, "casting-1", 100);
    let finish = ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 101);
    assert_eq!(finish, order::OrderFinish::WrongAttempt { current: 2 });
}

#[test]
fn running_order_is_kept_indefinitely() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    let key = fixture::key("mkoani", "casting-1");
    let owner = fixture::owner("entry-1", 1, 1);
    ledger.start(&key, fixture::DIGEST, &owner, 0);
    assert_eq!(
        repeat_order(&mut ledger, "casting-1", 1_000_000),
        order::OrderStart::Running
    );
}

#[test]
fn full_ledger_refuses_new_orders_and_drops_none_inside_the_window() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    // A team may hold as many records as are still free: 4 of 8.
    for number in 0..4 {
        let start = run_order(&mut ledger, "mkoani", &format!("casting-{number}"), 0);
        assert_eq!(start, fixture::begun(1));
    }
    let start = run_order(&mut ledger, "mkoani", "casting-4", 99);
    assert_eq!(start, order::OrderStart::Full);
    for number in 0..4 {
        assert_eq!(
            repeat_order(&mut ledger, &format!("casting-{number}"), 99),
            order::OrderStart::Answered(fixture::answer(b"cast"))
        );
    }
    let start = run_order(&mut ledger, "mkoani", "casting-4", 100);
    assert!(is_begun(&start), "{start:?}");
}

#[test]
fn one_team_cannot_fill_the_ledger_for_another() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    for number in 0..100 {
        run_order(&mut ledger, "mkoani", &format!("casting-{number}"), 0);
    }
    assert_eq!(ledger.team_usage("mkoani").records, 4);
    let start = run_order(&mut ledger, "kibaha", "casting-1", 0);
    assert_eq!(start, fixture::begun(1));
}

#[test]
fn remembered_keys_are_dropped_only_when_old_and_displaced() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    for number in 0..4 {
        run_order(&mut ledger, "mkoani", &format!("casting-{number}"), 0);
    }
    for number in 4..8 {
        run_order(&mut ledger, "mkoani", &format!("casting-{number}"), 100);
    }
    // The maximum number of keys is remembered and none is old enough to drop: records stay, and
    // new orders are refused.
    let start = run_order(&mut ledger, "mkoani", "casting-8", 999);
    assert_eq!(start, order::OrderStart::Full);
    for number in 0..4 {
        assert_eq!(
            repeat_order(&mut ledger, &format!("casting-{number}"), 999),
            order::OrderStart::Expired
        );
    }
    let start = run_order(&mut ledger, "mkoani", "casting-8", 1_000);
    assert!(is_begun(&start), "{start:?}");
    for number in 4..8 {
        assert_eq!(
            repeat_order(&mut ledger, &format!("casting-{number}"), 1_000),
            order::OrderStart::Expired
        );
    }
}

#[test]
fn answer_above_the_limit_is_kept_without_its_body() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    let key = fixture::key("mkoani", "casting-1");
    let owner = fixture::owner("entry-1", 1, 1);
    ledger.start(&key, fixture::DIGEST, &owner, 0);
    ledger.finish(&key, 1, &fixture::answered(&[b'x'; 17]), 0);
    let order::OrderStart::Answered(answer) = repeat_order(&mut ledger, "casting-1", 1) else {
        panic!("a repeat of an answered order gets its answer");
    };
    assert_eq!((answer.status, answer.truncated), (201, true));
    assert_eq!(answer.body, b"");
}

#[test]
fn bytes_of_all_answers_stay_within_the_limit_and_each_outcome_is_recorded() {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    for team in ["a", "b", "c", "d", "e", "f"] {
        let key = fixture::key(team, "casting-1");
        let owner = fixture::owner("entry-1", 1, 1);
        ledger.start(&key, fixture::DIGEST, &owner, 0);
        let finish = ledger.finish(&key, 1, &fixture::answered(&[b'x'; 16]), 0);
        assert_eq!(finish, order::OrderFinish::Recorded);
        assert!(ledger.statistics().usage.bytes <= fixture::limits().total_bytes);
    }
    assert_eq!(ledger.statistics().running, 0);
}
