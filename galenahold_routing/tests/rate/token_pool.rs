//! Charges, refunds and lost messages as the token pool of an instance handles them.

use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::rate;

use crate::fleet_model::team;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// The ledger of one team with a full bucket, and the token pool of one instance.
struct GrantFixture {
    now: time::Instant,
    ledger: rate::GrantLedger,
    pool: rate::TokenPool,
    team: name::TeamName,
}

impl GrantFixture {
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
        let tokens = amount::TokenCount(tokens);
        match self.pool.charge(&self.team, tokens, self.now) {
            rate::ChargeOutcome::Charged(receipt) => Some(receipt),
            _ => None,
        }
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
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(100);
    fixture.now += 2 * SECOND;
    assert!(!fixture.pool.confirm_charge(&mut receipt, fixture.now));
}

#[test]
fn tokens_of_a_lost_reply_come_back_with_the_next_call() {
    let mut fixture = GrantFixture::with_full_bucket();
    assert!(fixture.charge(900).is_none());
    let lost = fixture.pool.call(fixture.now).expect("a request waits");
    let lost_reply = fixture.ledger.grant(&lost, fixture.now);
    fixture.pool.call_failed(lost.number);
    fixture.exchange();
    assert!(fixture.charge(900).is_some());
    assert!(!fixture.pool.accept(&lost_reply, fixture.now));
    assert_eq!(
        fixture.pool.balance(&fixture.team),
        amount::TokenCount::ZERO
    );
}

#[test]
fn reply_to_an_earlier_call_is_dropped_while_a_later_one_is_under_way() {
    let mut fixture = GrantFixture::with_full_bucket();
    assert!(fixture.charge(900).is_none());
    let lost = fixture.pool.call(fixture.now).expect("a request waits");
    let lost_reply = fixture.ledger.grant(&lost, fixture.now);
    fixture.pool.call_failed(lost.number);
    let second = fixture.pool.call(fixture.now).expect("the call was lost");
    assert!(!fixture.pool.accept(&lost_reply, fixture.now));
    let reply = fixture.ledger.grant(&second, fixture.now);
    assert!(fixture.pool.accept(&reply, fixture.now));
}

#[test]
fn refund_of_an_earlier_leaders_tokens_raises_no_level() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(800);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    fixture.ledger = rate::GrantLedger::new(2, rate::LedgerSettings::default(), fixture.now);
    fixture.ledger.set_teams(&[team(1, 1_000)], fixture.now);
    fixture.now += time::Duration::from_millis(100);
    fixture.exchange();
    fixture
        .pool
        .settle(receipt, amount::TokenCount::ZERO, fixture.now);
    fixture.now += time::Duration::from_millis(100);
    fixture.exchange();
    assert_eq!(fixture.sum(), 0);
}

#[test]
fn refund_of_tokens_stated_as_spent_returns_to_the_bucket() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(800);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    fixture.now += SECOND;
    fixture.exchange();
    assert_eq!(fixture.sum(), 300 - 100);
    fixture
        .pool
        .settle(receipt, amount::TokenCount(300), fixture.now);
    fixture.now += SECOND;
    fixture.exchange();
    assert_eq!(fixture.sum(), 200 + 500 + 100);
}

#[test]
fn refund_credits_nothing_to_a_bucket_that_was_full_after_the_charge() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(500);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    fixture.now += SECOND;
    fixture.exchange();
    fixture.now += 10 * SECOND;
    assert_eq!(fixture.pool.call(fixture.now), None);
    let mut second = fixture.charge_with_call(600);
    assert!(fixture.pool.confirm_charge(&mut second, fixture.now));
    fixture
        .pool
        .settle(receipt, amount::TokenCount::ZERO, fixture.now);
    fixture.now += time::Duration::from_millis(100);
    fixture.exchange();
    fixture.now += time::Duration::from_millis(100);
    assert_eq!(fixture.pool.call(fixture.now), None);
    assert_eq!(fixture.sum(), 400 + 10);
}

#[test]
fn retired_pool_returns_all_tokens_that_no_request_holds() {
    let mut fixture = GrantFixture::with_full_bucket();
    let receipt = fixture.charge_with_call(800);
    fixture
        .pool
        .settle(receipt, amount::TokenCount::ZERO, fixture.now);
    assert_eq!(
        fixture.ledger.outstanding(&fixture.team),
        amount::TokenCount(800)
    );
    fixture.pool.retire();
    fixture.exchange();
    assert_eq!(
        fixture.ledger.outstanding(&fixture.team),
        amount::TokenCount::ZERO
    );
    assert_eq!(fixture.sum(), 1_000);
}

#[test]
fn request_above_the_burst_is_too_large() {
    let mut fixture = GrantFixture::with_full_bucket();
    let tokens = amount::TokenCount(1_001);
    let outcome = fixture.pool.charge(&fixture.team, tokens, fixture.now);
    assert!(matches!(outcome, rate::ChargeOutcome::TooLarge { .. }));
}

#[test]
fn wait_is_predicted_when_the_bucket_is_empty() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(1_000);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    assert!(fixture.charge(200).is_none());
    fixture.exchange();
    let tokens = amount::TokenCount(200);
    let outcome = fixture.pool.charge(&fixture.team, tokens, fixture.now);
    let rate::ChargeOutcome::MissingTokens { retry_after, .. } = outcome else {
        panic!("expected missing tokens from an empty bucket, got {outcome:?}");
    };
    assert_eq!(retry_after, Some(2 * SECOND));
}

#[test]
fn withdrawn_request_is_left_out_of_the_next_call() {
    let mut fixture = GrantFixture::with_full_bucket();
    assert!(fixture.charge(300).is_none());
    assert!(fixture.charge(200).is_none());
    fixture
        .pool
        .withdraw(&fixture.team, amount::TokenCount(300));
    let call = fixture.pool.call(fixture.now).expect("a request waits");
    assert_eq!(call.teams[0].missing, amount::TokenCount(200));
    assert_eq!(call.teams[0].first_missing, amount::TokenCount(200));
}

#[test]
fn unused_tokens_return_to_the_bucket() {
    let mut fixture = GrantFixture::with_full_bucket();
    let receipt = fixture.charge_with_call(1_000);
    fixture
        .pool
        .settle(receipt, amount::TokenCount::ZERO, fixture.now);
    for _ in 0..30 {
        fixture.now += time::Duration::from_millis(100);
        if fixture.pool.call_at(fixture.now).is_some() {
            fixture.exchange();
        }
    }
    let level = fixture.ledger.level(&fixture.team, fixture.now);
    assert_eq!(level, amount::TokenCount(1_000));
}

#[test]
fn two_refunds_together_credit_no_more_than_the_bucket_would_hold() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut first = fixture.charge_with_call(300);
    assert!(fixture.pool.confirm_charge(&mut first, fixture.now));
    let mut second = fixture.charge_with_call(300);
    assert!(fixture.pool.confirm_charge(&mut second, fixture.now));
    fixture.advance(2 * SECOND);
    assert_eq!(fixture.sum(), 400 + 200);
    let mut third = fixture.charge_with_call(500);
    assert!(fixture.pool.confirm_charge(&mut third, fixture.now));
    fixture
        .pool
        .settle(first, amount::TokenCount::ZERO, fixture.now);
    fixture
        .pool
        .settle(second, amount::TokenCount::ZERO, fixture.now);
    fixture.advance(2 * SECOND);
    let exact = 1_000 - 500 + 200;
    let refilled_in_a_call_interval = 10;
    let sum = fixture.sum();
    assert!(
        (exact - refilled_in_a_call_interval..=exact).contains(&sum),
        "{sum}"
    );
}

#[test]
fn refund_of_tokens_that_were_written_off_raises_no_level() {
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(1_000);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    let stated = fixture
        .pool
        .call(fixture.now + SECOND)
        .expect("a grant is open");
    fixture.pool.call_failed(stated.number);
    fixture.now += 3 * SECOND;
    fixture.exchange();
    let before = fixture.sum();
    fixture
        .pool
        .settle(receipt, amount::TokenCount::ZERO, fixture.now);
    fixture.now += SECOND;
    fixture.exchange();
    assert_eq!(fixture.sum(), before + 100);
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
            let wanted = amount::TokenCount(100);
            pool.charge(&team.name, wanted, now);
            calls += u32::from(exchange(&mut pool, &mut ledger, now));
            let charged = pool.charge(&team.name, wanted, now);
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
    let mut fixture = GrantFixture::with_full_bucket();
    let mut receipt = fixture.charge_with_call(100);
    assert!(fixture.pool.confirm_charge(&mut receipt, fixture.now));
    fixture.now += time::Duration::from_millis(100);
    fixture.exchange();
    assert_eq!(
        fixture.pool.balance(&fixture.team),
        amount::TokenCount::ZERO
    );
    assert_eq!(
        fixture.ledger.outstanding(&fixture.team),
        amount::TokenCount::ZERO
    );
}
