//! When an attempt of an order starts, ends, and may be followed by another.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::order;

use crate::fixture;

/// Returns a ledger with a running attempt by the first incarnation of `entry-1`, and its key.
fn ledger_with_running_order() -> (order::OrderLedger, order::OrderKey) {
    let mut ledger = order::OrderLedger::with_limits(fixture::limits());
    let key = fixture::key("mkoani", "casting-1");
    let owner = fixture::owner("entry-1", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &owner, 0);
    assert_eq!(start, fixture::begun(1));
    (ledger, key)
}

#[test]
fn start_by_another_instance_reports_the_running_attempt() {
    let (mut ledger, key) = ledger_with_running_order();
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 0);
    assert_eq!(start, order::OrderStart::Running);
}

#[test]
fn resent_start_of_the_owner_gets_the_same_attempt() {
    let (mut ledger, key) = ledger_with_running_order();
    let owner = fixture::owner("entry-1", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &owner, 0);
    assert_eq!(start, fixture::begun(1));
    let later_call = fixture::owner("entry-1", 1, 2);
    let start = ledger.start(&key, fixture::DIGEST, &later_call, 0);
    assert_eq!(start, order::OrderStart::Running);
}

#[test]
fn repeat_of_an_answered_order_gets_the_recorded_answer() {
    let (mut ledger, key) = ledger_with_running_order();
    let finish = ledger.finish(&key, 1, &fixture::answered(b"cast"), 1);
    assert_eq!(finish, order::OrderFinish::Recorded);
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 2);
    assert_eq!(start, order::OrderStart::Answered(fixture::answer(b"cast")));
}

#[test]
fn key_reused_for_another_request_is_refused() {
    let (mut ledger, key) = ledger_with_running_order();
    let owner = fixture::owner("entry-1", 1, 1);
    let start = ledger.start(&key, "other", &owner, 0);
    assert_eq!(start, order::OrderStart::DigestDiffers);
}

#[test]
fn equal_keys_of_different_teams_or_services_are_separate_orders() {
    let (mut ledger, _) = ledger_with_running_order();
    let owner = fixture::owner("entry-2", 1, 1);
    let other_team = fixture::key("kibaha", "casting-1");
    assert_eq!(
        ledger.start(&other_team, "other", &owner, 0),
        fixture::begun(1)
    );
    let mut other_service = fixture::key("mkoani", "casting-1");
    other_service.service = name::ServiceName::from("survey-desk");
    assert_eq!(
        ledger.start(&other_service, "other", &owner, 0),
        fixture::begun(1)
    );
}

#[test]
fn order_that_did_not_run_may_be_retried() {
    let (mut ledger, key) = ledger_with_running_order();
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 1);
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 2);
    assert_eq!(start, fixture::begun(2));
}

#[test]
fn order_with_unknown_outcome_never_runs_again() {
    let (mut ledger, key) = ledger_with_running_order();
    ledger.finish(&key, 1, &order::OrderOutcome::Unknown, 1);
    let other = fixture::owner("entry-2", 1, 1);
    for now_ms in [2, 99, 150, 100_000] {
        let start = ledger.start(&key, fixture::DIGEST, &other, now_ms);
        let is_refused = matches!(
            start,
            order::OrderStart::Unknown | order::OrderStart::Expired
        );
        assert!(is_refused, "at {now_ms}: {start:?}");
    }
}

#[test]
fn duplicate_start_begins_no_attempt_after_its_own_ended() {
    let (mut ledger, key) = ledger_with_running_order();
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 1);
    let first = fixture::owner("entry-1", 1, 1);
    let second = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &first, 2);
    assert_eq!(start, order::OrderStart::Running);
    ledger.start(&key, fixture::DIGEST, &second, 3);
    ledger.finish(&key, 2, &order::OrderOutcome::NotRun, 4);
    let start = ledger.start(&key, fixture::DIGEST, &first, 5);
    assert_eq!(start, order::OrderStart::Running);
}

#[test]
fn finish_of_an_earlier_attempt_changes_nothing() {
    let (mut ledger, key) = ledger_with_running_order();
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 1);
    let second = fixture::owner("entry-2", 1, 1);
    ledger.start(&key, fixture::DIGEST, &second, 2);
    let finish = ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 3);
    assert_eq!(finish, order::OrderFinish::WrongAttempt { current: 2 });
    let third = fixture::owner("entry-3", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &third, 4);
    assert_eq!(start, order::OrderStart::Running);
}

#[test]
fn first_outcome_is_kept() {
    let (mut ledger, key) = ledger_with_running_order();
    ledger.finish(&key, 1, &fixture::answered(b"cast"), 1);
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 2);
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 3);
    assert_eq!(start, order::OrderStart::Answered(fixture::answer(b"cast")));
}

#[test]
fn unknown_outcome_is_replaced_only_by_a_late_answer() {
    let (mut ledger, key) = ledger_with_running_order();
    let other = fixture::owner("entry-2", 1, 1);
    ledger.finish(&key, 1, &order::OrderOutcome::Unknown, 1);
    ledger.finish(&key, 1, &order::OrderOutcome::NotRun, 2);
    let start = ledger.start(&key, fixture::DIGEST, &other, 3);
    assert_eq!(start, order::OrderStart::Unknown);
    ledger.finish(&key, 1, &fixture::answered(b"cast"), 4);
    let start = ledger.start(&key, fixture::DIGEST, &other, 5);
    assert_eq!(start, order::OrderStart::Answered(fixture::answer(b"cast")));
}

#[test]
fn abandon_ends_only_attempts_of_earlier_incarnations() {
    let (mut ledger, key) = ledger_with_running_order();
    let current_key = fixture::key("mkoani", "casting-2");
    let current_owner = fixture::owner("entry-1", 2, 1);
    ledger.start(&current_key, fixture::DIGEST, &current_owner, 0);
    let instance = name::InstanceName::from("entry-1");
    let ended = ledger.abandon(&instance, amount::IncarnationNumber(2), 1);
    assert_eq!(ended, 1);
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 2);
    assert_eq!(start, order::OrderStart::Unknown);
    let start = ledger.start(&current_key, fixture::DIGEST, &other, 2);
    assert_eq!(start, order::OrderStart::Running);
}

#[test]
fn late_start_by_an_abandoned_incarnation_is_refused() {
    let (mut ledger, _) = ledger_with_running_order();
    let instance = name::InstanceName::from("entry-1");
    ledger.abandon(&instance, amount::IncarnationNumber(2), 1);
    let abandoned_owner = fixture::owner("entry-1", 1, 9);
    let key = fixture::key("mkoani", "casting-9");
    let start = ledger.start(&key, fixture::DIGEST, &abandoned_owner, 2);
    assert_eq!(start, order::OrderStart::OwnerEnded);
    let other = fixture::owner("entry-2", 1, 1);
    let start = ledger.start(&key, fixture::DIGEST, &other, 3);
    assert_eq!(start, fixture::begun(1));
}
