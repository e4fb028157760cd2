//! Charges, refunds and lost messages as the token pool of an instance handles them.

use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::rate;

use crate::fleet_model::{self, team};

const SECOND: time::Duration = time::Duration::from_secs(1);

/// The ledger of one team with a full bucket, and the token pool of one instance.
struct GrantPair {
    now: time::Instant,
    ledger: rate::GrantLedger,
    pool: rate::TokenPool,
    team: name::TeamName,
}

impl GrantPair {
    fn with_full_bucket() -> Self {
        let started_at = time::Instant::now();
        let blue = team(100, 1_000);
        let teams = std::slice::from_ref(&blue);
        let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), started_at);
        ledger.set_teams(teams, started_at);
        let now = started_at + 60 * SECOND;
        let mut pool = rate::TokenPool::new(
            name::InstanceName::from("entry-1"),
            amount::IncarnationNumber(1),
            rate::PoolSettings::default(),
        );
        pool.set_teams(teams, now);
        Self {
            now,
            ledger,
            pool,
            team: blue.name,
        }
    }

    fn charge(&mut self, tokens: u64) -> Option<rate::ChargeReceipt> {
        match self.charge_outcome(tokens) {
            rate::ChargeOutcome::Charged(receipt) => Some(receipt),
            _ => None,
        }
    }

    /// Charges the request of this size; a repeated charge continues its wait.
    fn charge_outcome(&mut self, tokens: u64) -> rate::ChargeOutcome {
        let request = fleet_model::charge(&self.team, tokens, tokens, self.now);
        self.pool.charge(&request, self.now)
    }

    fn is_charged(&mut self, request: &rate::ChargeRequest) -> bool {
        let outcome = self.pool.charge(request, self.now);
        matches!(outcome, rate::ChargeOutcome::Charged(_))
    }

    /// Sends the call that is due to the ledger and accepts its reply.
    fn exchange(&mut self) {
        let call = self.pool.call(self.now).expect("a call is due");
        let reply = self.ledger.grant(&call, self.now);
        assert!(self.pool.accept(&reply, self.now));
    }

    fn charge_with_call(&mut self, tokens: u64) -> rate::ChargeReceipt {
        if let Some(receipt) = self.charge(tokens) {
            return receipt;
        }
        self.exchange();
        self.charge(tokens)
            .expect("the control leader granted the tokens")
    }

    /// Advances the time, with the calls that become due.
    fn advance(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += time::Duration::from_millis(50);
            if self.pool.call_at(self.now).is_some_and(|at| at <= self.now) {
                self.exchange();
            }
        }
    }

    /// Returns the sum of the bucket's level and its outstanding tokens.
    fn sum(&mut self) -> u64 {
        self.ledger.level(&self.team, self.now).0 + self.ledger.outstanding(&self.team).0
    }
}

#[test]
fn charge_that_expired_before_the_send_is_not_valid() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(100);
    pair.now += 2 * SECOND;
    assert!(!pair.pool.confirm_charge(&mut receipt, pair.now));
}

#[test]
fn tokens_of_a_lost_reply_come_back_with_the_next_call() {
    let mut pair = GrantPair::with_full_bucket();
    assert!(pair.charge(900).is_none());
    let lost = pair.pool.call(pair.now).expect("a request waits");
    let lost_reply = pair.ledger.grant(&lost, pair.now);
    pair.pool.call_failed(lost.number);
    pair.exchange();
    assert!(pair.charge(900).is_some());
    assert!(!pair.pool.accept(&lost_reply, pair.now));
    assert_eq!(pair.pool.balance(&pair.team), amount::TokenCount::ZERO);
}

#[test]
fn reply_to_an_earlier_call_is_dropped_while_a_later_one_is_under_way() {
    let mut pair = GrantPair::with_full_bucket();
    assert!(pair.charge(900).is_none());
    let lost = pair.pool.call(pair.now).expect("a request waits");
    let lost_reply = pair.ledger.grant(&lost, pair.now);
    pair.pool.call_failed(lost.number);
    let second = pair.pool.call(pair.now).expect("the call was lost");
    assert!(!pair.pool.accept(&lost_reply, pair.now));
    let reply = pair.ledger.grant(&second, pair.now);
    assert!(pair.pool.accept(&reply, pair.now));
}

#[test]
fn refund_of_an_earlier_leaders_tokens_raises_no_level() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(800);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    pair.ledger = rate::GrantLedger::new(2, rate::LedgerSettings::default(), pair.now);
    pair.ledger.set_teams(&[team(1, 1_000)], pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    pair.pool
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    assert_eq!(pair.sum(), 0);
}

#[test]
fn refund_of_tokens_stated_as_spent_returns_to_the_bucket() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(800);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), 300 - 100);
    pair.pool.settle(receipt, amount::TokenCount(300), pair.now);
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), 200 + 500 + 100);
}

#[test]
fn refund_credits_nothing_to_a_bucket_that_was_full_after_the_charge() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(500);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    pair.now += SECOND;
    pair.exchange();
    pair.now += 10 * SECOND;
    assert_eq!(pair.pool.call(pair.now), None);
    let mut second = pair.charge_with_call(600);
    assert!(pair.pool.confirm_charge(&mut second, pair.now));
    pair.pool
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    pair.now += time::Duration::from_millis(100);
    assert_eq!(pair.pool.call(pair.now), None);
    assert_eq!(pair.sum(), 400 + 10);
}

#[test]
fn retired_pool_returns_all_tokens_that_no_request_holds() {
    let mut pair = GrantPair::with_full_bucket();
    let receipt = pair.charge_with_call(800);
    pair.pool
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    assert_eq!(pair.ledger.outstanding(&pair.team), amount::TokenCount(800));
    pair.pool.retire();
    pair.exchange();
    assert_eq!(
        pair.ledger.outstanding(&pair.team),
        amount::TokenCount::ZERO
    );
    assert_eq!(pair.sum(), 1_000);
}

#[test]
fn request_above_the_burst_is_too_large() {
    let mut pair = GrantPair::with_full_bucket();
    let outcome = pair.charge_outcome(1_001);
    assert!(matches!(outcome, rate::ChargeOutcome::TooLarge { .. }));
}

#[test]
fn wait_is_predicted_when_the_bucket_is_empty() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(1_000);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    assert!(pair.charge(200).is_none());
    pair.exchange();
    let outcome = pair.charge_outcome(200);
    let rate::ChargeOutcome::MissingTokens { retry_after, .. } = outcome else {
        panic!("expected missing tokens from an empty bucket, got {outcome:?}");
    };
    assert_eq!(retry_after, Some(2 * SECOND));
}

#[test]
fn withdrawn_request_is_left_out_of_the_next_call() {
    let mut pair = GrantPair::with_full_bucket();
    assert!(pair.charge(300).is_none());
    assert!(pair.charge(200).is_none());
    pair.pool.withdraw(&pair.team, rate::ChargeTicket(300));
    let call = pair.pool.call(pair.now).expect("a request waits");
    assert_eq!(call.teams[0].missing, amount::TokenCount(200));
    assert_eq!(call.teams[0].first_missing, amount::TokenCount(200));
}

#[test]
fn unused_tokens_return_to_the_bucket() {
    let mut pair = GrantPair::with_full_bucket();
    let receipt = pair.charge_with_call(1_000);
    pair.pool
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    for _ in 0..30 {
        pair.now += time::Duration::from_millis(100);
        if pair.pool.call_at(pair.now).is_some() {
            pair.exchange();
        }
    }
    let level = pair.ledger.level(&pair.team, pair.now);
    assert_eq!(level, amount::TokenCount(1_000));
}

#[test]
fn two_refunds_together_credit_no_more_than_the_bucket_would_hold() {
    let mut pair = GrantPair::with_full_bucket();
    let mut first = pair.charge_with_call(300);
    assert!(pair.pool.confirm_charge(&mut first, pair.now));
    let mut second = pair.charge_with_call(300);
    assert!(pair.pool.confirm_charge(&mut second, pair.now));
    pair.advance(2 * SECOND);
    assert_eq!(pair.sum(), 400 + 200);
    let mut third = pair.charge_with_call(500);
    assert!(pair.pool.confirm_charge(&mut third, pair.now));
    pair.pool.settle(first, amount::TokenCount::ZERO, pair.now);
    pair.pool.settle(second, amount::TokenCount::ZERO, pair.now);
    pair.advance(2 * SECOND);
    let exact = 1_000 - 500 + 200;
    let refilled_in_a_call_interval = 10;
    let sum = pair.sum();
    assert!(
        (exact - refilled_in_a_call_interval..=exact).contains(&sum),
        "{sum}"
    );
}

#[test]
fn refund_of_tokens_that_were_written_off_raises_no_level() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(1_000);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    let stated = pair.pool.call(pair.now + SECOND).expect("a grant is open");
    pair.pool.call_failed(stated.number);
    pair.now += 3 * SECOND;
    pair.exchange();
    let before = pair.sum();
    pair.pool
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), before + 100);
}

#[test]
fn statements_of_several_teams_share_one_call() {
    let interval = time::Duration::from_millis(100);
    let started_at = time::Instant::now();
    let teams = ["blue", "green", "red"].map(|name| galenahold_domain::intent::TeamIntent {
        name: name::TeamName::from(name),
        ..team(10_000, 10_000)
    });
    let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), started_at);
    ledger.set_teams(&teams, started_at);
    let mut now = started_at + 60 * SECOND;
    let mut pool = rate::TokenPool::new(
        name::InstanceName::from("entry-1"),
        amount::IncarnationNumber(1),
        rate::PoolSettings::default().with_call_interval(interval),
    );
    pool.set_teams(&teams, now);
    let mut calls = 0;
    // Each team makes one request, a third of an interval after the previous team, and none later.
    for step in 0..30_u32 {
        if step % 3 == 0
            && let Some(team) =
                teams.get(usize::try_from(step / 3).expect("the index fits into usize"))
        {
            let request = fleet_model::charge(&team.name, u64::from(step), 100, now);
            pool.charge(&request, now);
            calls += u32::from(exchange(&mut pool, &mut ledger, now));
            let charged = pool.charge(&request, now);
            let rate::ChargeOutcome::Charged(mut receipt) = charged else {
                panic!("the control leader granted no tokens: {charged:?}");
            };
            assert!(pool.confirm_charge(&mut receipt, now));
        }
        calls += u32::from(exchange(&mut pool, &mut ledger, now));
        now += interval / 10;
    }
    // One call requests tokens for each request, and one more states the final spending.
    assert_eq!(calls, 4);
}

fn exchange(
    pool: &mut rate::TokenPool,
    ledger: &mut rate::GrantLedger,
    now: time::Instant,
) -> bool {
    let Some(call) = pool.call(now) else {
        return false;
    };
    let reply = ledger.grant(&call, now);
    assert!(pool.accept(&reply, now));
    true
}

#[test]
fn lone_request_leaves_no_tokens_idle() {
    let mut pair = GrantPair::with_full_bucket();
    let mut receipt = pair.charge_with_call(100);
    assert!(pair.pool.confirm_charge(&mut receipt, pair.now));
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    assert_eq!(pair.pool.balance(&pair.team), amount::TokenCount::ZERO);
    assert_eq!(
        pair.ledger.outstanding(&pair.team),
        amount::TokenCount::ZERO
    );
}

/// Guards against tokens that go to whichever request is charged first after a reply.
#[test]
fn held_tokens_go_by_rank_and_then_to_returning_callers() {
    let mut pair = GrantPair::with_full_bucket();
    let unsent = pair.charge_with_call(1_000);
    let new = fleet_model::charge(&pair.team, 1, 400, pair.now);
    let returning = rate::ChargeRequest {
        ticket: rate::ChargeTicket(2),
        tokens: amount::TokenCount(900),
        is_returning: true,
        ..new.clone()
    };
    let less_urgent = rate::ChargeRequest {
        ticket: rate::ChargeTicket(0),
        tokens: amount::TokenCount(100),
        rank: 1,
        ..new.clone()
    };
    for request in [&less_urgent, &new, &returning] {
        assert!(!pair.is_charged(request));
    }
    // The tokens of a request that was not sent are held again.
    pair.pool.settle(unsent, amount::TokenCount::ZERO, pair.now);
    assert!(!pair.is_charged(&less_urgent));
    assert!(!pair.is_charged(&new));
    assert!(pair.is_charged(&returning));
    assert!(!pair.is_charged(&less_urgent));
    pair.pool.withdraw(&pair.team, new.ticket);
    assert!(pair.is_charged(&less_urgent));
}

/// Guards against tokens that the leader granted to a less urgent rank as its share and that others spend.
#[test]
fn granted_request_keeps_its_tokens_from_a_more_urgent_one_that_came_later() {
    let mut pair = GrantPair::with_full_bucket();
    let granted = rate::ChargeRequest {
        rank: 2,
        ..fleet_model::charge(&pair.team, 1, 400, pair.now)
    };
    assert!(!pair.is_charged(&granted));
    pair.exchange();
    let urgent = fleet_model::charge(&pair.team, 2, 400, pair.now);
    assert!(!pair.is_charged(&urgent));
    assert!(pair.is_charged(&granted));
}
