//! The ledger across changes of leader, limits and teams, and restarts of holders.

use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::rate;

use crate::fleet_model::team;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn new_ledger(now: time::Instant) -> rate::GrantLedger {
    rate::GrantLedger::new(1, rate::LedgerSettings::default(), now)
}

fn call(instance: &str, number: u64, missing: u64) -> rate::GrantCall {
    let missing = amount::TokenCount(missing);
    rate::GrantCall {
        instance: name::InstanceName::from(instance),
        incarnation: amount::IncarnationNumber(1),
        number,
        teams: vec![rate::GrantRequest {
            team: name::TeamName::from("blue"),
            first_missing: missing,
            missing,
            prefetch: amount::TokenCount::ZERO,
            waiting: Vec::new(),
            statements: Vec::new(),
            refunds: Vec::new(),
            overdrawn_total: amount::TokenCount::ZERO,
            served_total: amount::TokenCount::ZERO,
        }],
    }
}

/// Returns a call with one waiting request that can wait for 400 ms.
fn ranked_call(instance: &str, ticket: u64, rank: u32, missing: u64) -> rate::GrantCall {
    let mut call = call(instance, ticket, missing);
    call.teams[0].waiting.push(rate::WaitingDemand {
        ticket: rate::ChargeTicket(ticket),
        rank,
        is_returning: false,
        missing: amount::TokenCount(missing),
        waits_ms: 400,
    });
    call
}

/// Returns a ledger with an empty bucket that gets 1,000 tokens per second, and the time.
fn ledger_with_empty_bucket() -> (rate::GrantLedger, time::Instant) {
    let started_at = time::Instant::now();
    let mut ledger = new_ledger(started_at);
    ledger.set_teams(&[team(1_000, 1_000)], started_at);
    let now = started_at + 10 * SECOND;
    let full = ledger.grant(&call("entry-0", 1, 1_000), now);
    assert_eq!(full.grants[0].tokens, amount::TokenCount(1_000));
    let mut spent = call("entry-0", 2, 0);
    spent.teams[0].statements.push(rate::GrantStatement {
        id: full.grants[0].id,
        spent: amount::TokenCount(1_000),
        kept: amount::TokenCount::ZERO,
    });
    ledger.grant(&spent, now);
    (ledger, now)
}

/// Guards against many rejected calls that come back at the same time, for which there are tokens for one.
#[test]
fn each_rejected_call_is_told_a_time_behind_those_told_before() {
    let (mut ledger, now) = ledger_with_empty_bucket();
    let waits: Vec<_> = (1..=4)
        .map(|number| {
            let call = ranked_call(&format!("entry-{number}"), number, 1, 500);
            ledger.grant(&call, now).grants[0].waits_ms[0].expect("the tokens will be there")
        })
        .collect();
    assert_eq!(waits, [500, 1_000, 1_500, 2_000]);
    let urgent = ledger.grant(&ranked_call("entry-9", 9, 0, 500), now);
    assert_eq!(urgent.grants[0].waits_ms, [Some(500)]);
}

/// Guards against a refused request that keeps others of its team from tokens, though it no longer waits.
#[test]
fn demand_that_cannot_wait_long_enough_claims_no_tokens() {
    let (mut ledger, now) = ledger_with_empty_bucket();
    let hopeless = ledger.grant(&ranked_call("entry-1", 1, 0, 900), now);
    assert_eq!(hopeless.grants[0].tokens, amount::TokenCount::ZERO);
    let later = now + SECOND / 5;
    let reply = ledger.grant(&ranked_call("entry-2", 1, 0, 150), later);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount(150));
}

#[test]
fn waiting_request_of_an_urgent_rank_is_met_before_an_earlier_one() {
    let (mut ledger, now) = ledger_with_empty_bucket();
    assert_eq!(
        ledger.grant(&ranked_call("entry-1", 1, 2, 300), now).grants[0].waits_ms,
        [Some(300)]
    );
    assert_eq!(
        ledger.grant(&ranked_call("entry-2", 1, 0, 300), now).grants[0].waits_ms,
        [Some(300)]
    );
    let later = now + SECOND * 3 / 10;
    let mut repeated = ranked_call("entry-1", 1, 2, 300);
    repeated.number = 2;
    let reply = ledger.grant(&repeated, later);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount::ZERO);
    let mut repeated = ranked_call("entry-2", 1, 0, 300);
    repeated.number = 2;
    let reply = ledger.grant(&repeated, later);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount(300));
}

/// Guards against a caller that waited as it was told and is rejected again for those that just came.
#[test]
fn returning_caller_is_met_before_earlier_new_ones_of_its_rank() {
    let (mut ledger, now) = ledger_with_empty_bucket();
    ledger.grant(&ranked_call("entry-1", 1, 1, 300), now);
    let mut returning = ranked_call("entry-2", 1, 1, 300);
    returning.teams[0].waiting[0].is_returning = true;
    assert_eq!(
        ledger.grant(&returning, now).grants[0].waits_ms,
        [Some(300)]
    );
    let urgent = ledger.grant(&ranked_call("entry-3", 1, 0, 50), now);
    assert_eq!(urgent.grants[0].waits_ms, [Some(50)]);
}

/// Guards against a team that counts as beyond its limit since its requests ask again and again while a new
/// leader's bucket recovers.
#[test]
fn request_that_asks_repeatedly_counts_once() {
    let now = time::Instant::now();
    let settings = rate::LedgerSettings::default().with_immediate_refill();
    let mut ledger = rate::GrantLedger::new(2, settings, now);
    ledger.set_teams(&[team(1_000, 1_000)], now);
    for number in 1..=10_u32 {
        let mut call = ranked_call("entry-1", 7, 0, 990);
        call.number = u64::from(number);
        call.teams[0].waiting[0].waits_ms = 0;
        ledger.grant(&call, now + SECOND / 20 * number);
    }
    assert_eq!(ledger.take_changes(), []);
}

#[test]
fn new_leader_lends_nothing_while_earlier_grants_may_be_spent() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    ledger.set_teams(&[team(100, 1_000)], now);
    let reply = ledger.grant(&call("entry-1", 1, 10), now + SECOND);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount::ZERO);
    assert!(reply.grants[0].retry_after.is_some());
}

/// Returns whether the bucket of a new leader is recovering at the time `after` its start.
fn is_recovering(rate: u64, after: time::Duration) -> bool {
    let now = time::Instant::now();
    let settings = rate::LedgerSettings::default().with_immediate_refill();
    let mut ledger = rate::GrantLedger::new(2, settings, now);
    ledger.set_teams(&[team(rate, 1_000)], now);
    let reply = ledger.grant(&call("entry-1", 1, 0), now + after);
    reply.grants[0].recovering
}

#[test]
fn bucket_of_a_new_leader_is_recovering_until_it_is_full() {
    assert!(is_recovering(1_000, SECOND / 10));
    assert!(is_recovering(1_000, SECOND * 9 / 10));
    assert!(!is_recovering(1_000, SECOND * 11 / 10));
}

#[test]
fn bucket_that_takes_long_to_fill_counts_as_recovering_for_a_bounded_time() {
    assert!(is_recovering(100, SECOND * 3));
    assert!(!is_recovering(100, SECOND * 5));
}

#[test]
fn tokens_of_a_silent_holder_are_written_off_as_spent() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    let blue = team(0, 1_000);
    ledger.set_teams(&[team(1_000, 1_000)], now);
    let full_at = now + 10 * SECOND;
    ledger.set_teams(std::slice::from_ref(&blue), full_at);
    let reply = ledger.grant(&call("entry-1", 1, 600), full_at);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount(600));
    let later = full_at + 60 * SECOND;
    assert_eq!(ledger.level(&blue.name, later), amount::TokenCount(400));
    assert_eq!(ledger.outstanding(&blue.name), amount::TokenCount::ZERO);
}

#[test]
fn raised_burst_adds_no_tokens() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    ledger.set_teams(&[team(1_000, 1_000)], now);
    let full_at = now + 10 * SECOND;
    ledger.set_teams(&[team(1, 9_000)], full_at);
    let blue = name::TeamName::from("blue");
    assert_eq!(ledger.level(&blue, full_at), amount::TokenCount(1_000));
}

#[test]
fn team_that_is_removed_and_added_again_gets_no_new_burst() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    let blue = team(1, 1_000);
    ledger.set_teams(&[team(1_000, 1_000)], now);
    let full_at = now + 10 * SECOND;
    ledger.set_teams(std::slice::from_ref(&blue), full_at);
    let reply = ledger.grant(&call("entry-1", 1, 1_000), full_at);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount(1_000));
    ledger.set_teams(&[], full_at + SECOND);
    ledger.set_teams(std::slice::from_ref(&blue), full_at + 2 * SECOND);
    let level = ledger.level(&blue.name, full_at + 2 * SECOND);
    assert_eq!(level, amount::TokenCount::ZERO);
}

#[test]
fn earlier_demand_is_met_before_a_later_smaller_one() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    ledger.set_teams(&[team(100, 1_000)], now);
    let empty_at = now + 2 * SECOND;
    let first = ledger.grant(&call("entry-1", 1, 400), empty_at);
    assert_eq!(first.grants[0].tokens, amount::TokenCount::ZERO);
    let second = ledger.grant(&call("entry-2", 1, 20), empty_at);
    assert_eq!(second.grants[0].tokens, amount::TokenCount::ZERO);
    assert!(second.grants[0].retry_after > first.grants[0].retry_after);
}

#[test]
fn duplicate_call_is_granted_once() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    ledger.set_teams(&[team(100, 1_000)], now);
    let full_at = now + 60 * SECOND;
    let call = call("entry-1", 1, 300);
    assert_eq!(ledger.grant(&call, full_at).grants.len(), 1);
    assert!(ledger.grant(&call, full_at).grants.is_empty());
}

#[test]
fn restart_does_not_free_tokens_that_the_earlier_incarnation_may_still_spend() {
    let now = time::Instant::now();
    let mut ledger = new_ledger(now);
    let blue = team(1_000, 1_000);
    ledger.set_teams(std::slice::from_ref(&blue), now);
    let full_at = now + 10 * SECOND;
    ledger.grant(&call("entry-1", 1, 1_000), full_at);
    let mut restarted = call("entry-1", 1, 1_000);
    restarted.incarnation = amount::IncarnationNumber(2);
    let reply = ledger.grant(&restarted, full_at + SECOND);
    assert_eq!(reply.grants[0].tokens, amount::TokenCount::ZERO);
    assert_eq!(ledger.outstanding(&blue.name), amount::TokenCount(1_000));
}
