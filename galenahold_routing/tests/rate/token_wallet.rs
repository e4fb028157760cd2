//! What a wallet does with charges, refunds and lost messages.

use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::rate;

use crate::fleet_model::team;

const SECOND: time::Duration = time::Duration::from_secs(1);

struct Pair {
    now: time::Instant,
    ledger: rate::GrantLedger,
    wallet: rate::TokenWallet,
    team: name::TeamName,
}

impl Pair {
    fn with_full_bucket() -> Self {
        let started_at = time::Instant::now();
        let blue = team(100, 1_000);
        let teams = std::slice::from_ref(&blue);
        let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), started_at);
        ledger.set_teams(teams, started_at);
        let now = started_at + 60 * SECOND;
        let mut wallet = rate::TokenWallet::new(
            name::InstanceName::from("entry-1"),
            amount::IncarnationNumber(1),
            rate::WalletSettings::default(),
        );
        wallet.set_teams(teams, now);
        Self {
            now,
            ledger,
            wallet,
            team: blue.name,
        }
    }

    fn charge(&mut self, tokens: u64) -> Option<rate::ChargeReceipt> {
        let tokens = amount::TokenCount(tokens);
        match self.wallet.charge(&self.team, tokens, self.now) {
            rate::ChargeOutcome::Charged(receipt) => Some(receipt),
            _ => None,
        }
    }

    fn exchange(&mut self) {
        let call = self.wallet.call(self.now).expect("a call is due");
        let reply = self.ledger.grant(&call, self.now);
        assert!(self.wallet.accept(&reply, self.now));
    }

    fn charge_after_asking(&mut self, tokens: u64) -> rate::ChargeReceipt {
        if let Some(receipt) = self.charge(tokens) {
            return receipt;
        }
        self.exchange();
        self.charge(tokens).expect("control gave the tokens")
    }

    /// Lets time go on with the calls that are due.
    fn idle(&mut self, duration: time::Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += time::Duration::from_millis(50);
            if self
                .wallet
                .call_at(self.now)
                .is_some_and(|at| at <= self.now)
            {
                self.exchange();
            }
        }
    }

    fn sum(&mut self) -> u64 {
        self.ledger.level(&self.team, self.now).0 + self.ledger.outstanding(&self.team).0
    }
}

#[test]
fn charge_that_expired_before_the_send_is_not_valid() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(100);
    pair.now += 2 * SECOND;
    assert!(!pair.wallet.still_valid(&mut receipt, pair.now));
}

#[test]
fn tokens_of_a_lost_reply_come_back_with_the_next_call() {
    let mut pair = Pair::with_full_bucket();
    assert!(pair.charge(900).is_none());
    let lost = pair.wallet.call(pair.now).expect("a request waits");
    let lost_reply = pair.ledger.grant(&lost, pair.now);
    pair.wallet.call_failed(lost.number);
    pair.exchange();
    assert!(pair.charge(900).is_some());
    assert!(!pair.wallet.accept(&lost_reply, pair.now));
    assert_eq!(pair.wallet.balance(&pair.team), amount::TokenCount::ZERO);
}

#[test]
fn reply_to_an_earlier_call_is_dropped_while_a_later_one_is_under_way() {
    let mut pair = Pair::with_full_bucket();
    assert!(pair.charge(900).is_none());
    let lost = pair.wallet.call(pair.now).expect("a request waits");
    let lost_reply = pair.ledger.grant(&lost, pair.now);
    pair.wallet.call_failed(lost.number);
    let second = pair.wallet.call(pair.now).expect("the call was lost");
    assert!(!pair.wallet.accept(&lost_reply, pair.now));
    let reply = pair.ledger.grant(&second, pair.now);
    assert!(pair.wallet.accept(&reply, pair.now));
}

#[test]
fn refund_of_an_earlier_leaders_tokens_raises_no_level() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(800);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    pair.ledger = rate::GrantLedger::new(2, rate::LedgerSettings::default(), pair.now);
    pair.ledger.set_teams(&[team(1, 1_000)], pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    pair.wallet
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    assert_eq!(pair.sum(), 0);
}

#[test]
fn refund_returns_to_the_bucket_when_the_spending_was_stated() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(800);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), 300 - 100);
    pair.wallet
        .settle(receipt, amount::TokenCount(300), pair.now);
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), 200 + 500 + 100);
}

#[test]
fn refund_gives_back_nothing_that_a_full_bucket_could_not_hold() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(500);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    pair.now += SECOND;
    pair.exchange();
    pair.now += 10 * SECOND;
    assert_eq!(pair.wallet.call(pair.now), None);
    let mut second = pair.charge_after_asking(600);
    assert!(pair.wallet.still_valid(&mut second, pair.now));
    pair.wallet
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    pair.now += time::Duration::from_millis(100);
    assert_eq!(pair.wallet.call(pair.now), None);
    assert_eq!(pair.sum(), 400 + 10);
}

#[test]
fn stopping_instance_gives_back_what_no_request_holds() {
    let mut pair = Pair::with_full_bucket();
    let receipt = pair.charge_after_asking(800);
    pair.wallet
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    assert_eq!(pair.ledger.outstanding(&pair.team), amount::TokenCount(800));
    pair.wallet.retire();
    pair.exchange();
    assert_eq!(
        pair.ledger.outstanding(&pair.team),
        amount::TokenCount::ZERO
    );
    assert_eq!(pair.sum(), 1_000);
}

#[test]
fn request_above_the_burst_is_told_so() {
    let mut pair = Pair::with_full_bucket();
    let tokens = amount::TokenCount(1_001);
    let outcome = pair.wallet.charge(&pair.team, tokens, pair.now);
    assert!(matches!(outcome, rate::ChargeOutcome::TooLarge { .. }));
}

#[test]
fn wait_is_predicted_when_the_bucket_is_empty() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(1_000);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    assert!(pair.charge(200).is_none());
    pair.exchange();
    let tokens = amount::TokenCount(200);
    let outcome = pair.wallet.charge(&pair.team, tokens, pair.now);
    let rate::ChargeOutcome::Ask { retry_after, .. } = outcome else {
        panic!("the bucket is empty: {outcome:?}");
    };
    assert_eq!(retry_after, Some(2 * SECOND));
}

#[test]
fn request_that_gives_up_asks_for_nothing_more() {
    let mut pair = Pair::with_full_bucket();
    assert!(pair.charge(300).is_none());
    assert!(pair.charge(200).is_none());
    pair.wallet.withdraw(&pair.team, amount::TokenCount(300));
    let call = pair.wallet.call(pair.now).expect("a request waits");
    assert_eq!(call.teams[0].missing, amount::TokenCount(200));
    assert_eq!(call.teams[0].first_missing, amount::TokenCount(200));
}

#[test]
fn unused_tokens_flow_back_to_the_bucket() {
    let mut pair = Pair::with_full_bucket();
    let receipt = pair.charge_after_asking(1_000);
    pair.wallet
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    for _ in 0..30 {
        pair.now += time::Duration::from_millis(100);
        if pair.wallet.call_at(pair.now).is_some() {
            pair.exchange();
        }
    }
    let level = pair.ledger.level(&pair.team, pair.now);
    assert_eq!(level, amount::TokenCount(1_000));
}

#[test]
fn two_refunds_together_give_back_no_more_than_a_full_bucket_could_hold() {
    let mut pair = Pair::with_full_bucket();
    let mut first = pair.charge_after_asking(300);
    assert!(pair.wallet.still_valid(&mut first, pair.now));
    let mut second = pair.charge_after_asking(300);
    assert!(pair.wallet.still_valid(&mut second, pair.now));
    pair.idle(2 * SECOND);
    assert_eq!(pair.sum(), 400 + 200);
    let mut third = pair.charge_after_asking(500);
    assert!(pair.wallet.still_valid(&mut third, pair.now));
    pair.wallet
        .settle(first, amount::TokenCount::ZERO, pair.now);
    pair.wallet
        .settle(second, amount::TokenCount::ZERO, pair.now);
    pair.idle(2 * SECOND);
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
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(1_000);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    let stated = pair
        .wallet
        .call(pair.now + SECOND)
        .expect("a grant is open");
    pair.wallet.call_failed(stated.number);
    pair.now += 3 * SECOND;
    pair.exchange();
    let before = pair.sum();
    pair.wallet
        .settle(receipt, amount::TokenCount::ZERO, pair.now);
    pair.now += SECOND;
    pair.exchange();
    assert_eq!(pair.sum(), before + 100);
}

#[test]
fn teams_state_themselves_in_one_call() {
    let interval = time::Duration::from_millis(100);
    let started_at = time::Instant::now();
    let teams = ["blue", "green", "red"].map(|name| galenahold_domain::intent::TeamIntent {
        name: name::TeamName::from(name),
        ..team(10_000, 10_000)
    });
    let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), started_at);
    ledger.set_teams(&teams, started_at);
    let mut now = started_at + 60 * SECOND;
    let mut wallet = rate::TokenWallet::new(
        name::InstanceName::from("entry-1"),
        amount::IncarnationNumber(1),
        rate::WalletSettings::default().with_call_interval(interval),
    );
    wallet.set_teams(&teams, now);
    let mut calls = 0;
    // One request of each team, a third of an interval apart, and then none.
    for step in 0..30_u32 {
        if step % 3 == 0
            && let Some(team) = teams.get(usize::try_from(step / 3).expect("small"))
        {
            let wanted = amount::TokenCount(100);
            wallet.charge(&team.name, wanted, now);
            calls += u32::from(exchange(&mut wallet, &mut ledger, now));
            let charged = wallet.charge(&team.name, wanted, now);
            let rate::ChargeOutcome::Charged(mut receipt) = charged else {
                panic!("control gave no tokens: {charged:?}");
            };
            assert!(wallet.still_valid(&mut receipt, now));
        }
        calls += u32::from(exchange(&mut wallet, &mut ledger, now));
        now += interval / 10;
    }
    // One call asks for each request, and one more states the end of the last.
    assert_eq!(calls, 4);
}

fn exchange(
    wallet: &mut rate::TokenWallet,
    ledger: &mut rate::GrantLedger,
    now: time::Instant,
) -> bool {
    let Some(call) = wallet.call(now) else {
        return false;
    };
    let reply = ledger.grant(&call, now);
    assert!(wallet.accept(&reply, now));
    true
}

#[test]
fn lone_request_leaves_no_tokens_idle() {
    let mut pair = Pair::with_full_bucket();
    let mut receipt = pair.charge_after_asking(100);
    assert!(pair.wallet.still_valid(&mut receipt, pair.now));
    pair.now += time::Duration::from_millis(100);
    pair.exchange();
    assert_eq!(pair.wallet.balance(&pair.team), amount::TokenCount::ZERO);
    assert_eq!(
        pair.ledger.outstanding(&pair.team),
        amount::TokenCount::ZERO
    );
}
