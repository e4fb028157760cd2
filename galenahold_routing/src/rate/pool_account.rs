//! The tokens of one team at one instance.

use std::time;

use galenahold_domain::{amount, intent, name};

use crate::rate;
use crate::rate::charge_receipt::ReceiptPart;
use crate::rate::rank_demand::RankDemand;
use crate::rate::waiting_charge::WaitingCharge;

/// Decay time of the estimated spending rate.
const SPEND_AVERAGING_TIME: time::Duration = time::Duration::from_millis(500);

/// Minimum time between calls while the last reply granted fewer tokens than requested.
const PARTIAL_GRANT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// A call is due early once the tokens spent since the last one reach this part of the burst. The bucket of
/// the team does not refill beyond its burst less the tokens that are granted and not known to be spent; with
/// a burst of two requests, a late statement keeps it from refilling most of the time.
const SPENT_PART_OF_BURST: u64 = 8;

/// Pause before such an early call, so that it states the requests that follow each other closely.
const SPENT_CALL_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Age below which the tokens of a grant are not returned as idle.
const FRESH_GRANT_AGE: time::Duration = time::Duration::from_millis(200);

/// Maximum number of waiting requests that a call states, so that its size is bounded.
const MAX_STATED_WAITING: usize = 16;

/// While tokens are scarce, an instance keeps what its more urgent requests are expected to spend in this
/// time from the less urgent ones.
const RESERVE_HORIZON: time::Duration = time::Duration::from_millis(300);

/// How long after its expiry a grant is still stated, unless its final statement is acknowledged earlier.
const STATEMENT_RETENTION: time::Duration = time::Duration::from_secs(10);

/// The grants of one team at one instance, with its waiting demand and recent spending.
#[derive(Debug)]
pub(super) struct PoolAccount {
    burst: u64,
    weight: f64,
    grants: Vec<HeldGrant>,
    refunds: Vec<rate::TokenRefund>,
    refund_sequence: u64,
    overdrawn_total: u64,
    served_total: u64,
    /// The requests that lacked tokens when they were charged, in the order in which they get tokens.
    waiting: Vec<WaitingCharge>,
    /// The requests that the last call stated as waiting.
    stated: Vec<rate::ChargeTicket>,
    demand: RankDemand,
    /// Tokens spent since the last call.
    unstated: u64,
    /// Tokens that the last call requested.
    requested: u64,
    reply: LastReply,
    spend_per_s: f64,
    last_charge: u64,
    spend_updated_at: time::Instant,
    called_at: Option<time::Instant>,
    /// Whether the next call is due at once: the last one was lost, or there are tokens to return.
    pub(super) calls_at_once: bool,
    /// Whether the active intent has the team; statements continue after its removal.
    pub(super) active: bool,
    /// Whether the instance stops and holds no tokens for future requests.
    retired: bool,
}

/// The last reply of the control leader, without the grant.
#[derive(Debug, Default)]
struct LastReply {
    /// Whether the grant was smaller than requested.
    partial: bool,
    scarce: bool,
    recovering: bool,
}

/// A grant that the instance holds.
#[derive(Debug)]
struct HeldGrant {
    id: rate::GrantId,
    balance: u64,
    /// Tokens reserved for requests that are not sent yet.
    reserved: u64,
    spent: u64,
    received_at: time::Instant,
    expires_at: time::Instant,
    /// The call that first stated that no tokens of the grant are left.
    closed_in: Option<u64>,
}

impl HeldGrant {
    fn is_closed(&self) -> bool {
        self.balance == 0 && self.reserved == 0
    }

    fn is_alive(&self, now: time::Instant) -> bool {
        now < self.expires_at
    }
}

impl PoolAccount {
    pub(super) fn new(team: &intent::TeamIntent, now: time::Instant) -> Self {
        Self {
            burst: team.burst_tokens.0,
            weight: f64::from(team.weight),
            grants: Vec::new(),
            refunds: Vec::new(),
            refund_sequence: 0,
            overdrawn_total: 0,
            served_total: 0,
            waiting: Vec::new(),
            stated: Vec::new(),
            demand: RankDemand::default(),
            unstated: 0,
            requested: 0,
            reply: LastReply::default(),
            spend_per_s: 0.0,
            last_charge: 0,
            spend_updated_at: now,
            called_at: None,
            calls_at_once: false,
            active: true,
            retired: false,
        }
    }

    pub(super) fn set_limits(&mut self, team: &intent::TeamIntent) {
        self.burst = team.burst_tokens.0;
        self.active = true;
    }

    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    pub(super) fn balance(&self) -> u64 {
        self.grants.iter().map(|grant| grant.balance).sum()
    }

    pub(super) fn charge(
        &mut self,
        request: &rate::ChargeRequest,
        now: time::Instant,
    ) -> rate::ChargeOutcome {
        let tokens = request.tokens.0;
        let charge = self.take_waiting(request.ticket).unwrap_or_else(|| {
            self.demand.record(request.rank, tokens, now);
            WaitingCharge::new(request)
        });
        if !self.active {
            return rate::ChargeOutcome::UnknownTeam;
        }
        self.expire(now);
        if tokens > self.burst {
            let burst = amount::TokenCount(self.burst);
            return rate::ChargeOutcome::TooLarge { burst };
        }
        if self.available_to(&charge, now) < tokens {
            return self.wait_for_tokens(charge, now);
        }
        self.record_spend(tokens, now);
        rate::ChargeOutcome::Charged(rate::ChargeReceipt {
            team: request.team.clone(),
            parts: self.reserve(tokens),
        })
    }

    pub(super) fn confirm(
        &mut self,
        receipt: &mut rate::ChargeReceipt,
        next_call: u64,
        now: time::Instant,
    ) -> bool {
        self.expire(now);
        let unsent = receipt.parts.iter().filter(|part| part.stated_in.is_none());
        let valid = unsent
            .into_iter()
            .all(|part| self.reserved_in(part.grant) >= part.tokens);
        if !valid {
            self.release(receipt);
            return false;
        }
        for part in &mut receipt.parts {
            if part.stated_in.is_none() {
                self.spend(part.grant, part.tokens);
                part.stated_in = Some(next_call);
            }
        }
        true
    }

    pub(super) fn settle(
        &mut self,
        mut receipt: rate::ChargeReceipt,
        actual_tokens: u64,
        next_call: u64,
        now: time::Instant,
    ) {
        self.expire(now);
        self.release(&mut receipt);
        self.served_total += actual_tokens;
        let charged = receipt.tokens().0;
        if actual_tokens > charged {
            self.overdraw(actual_tokens - charged);
            return;
        }
        let mut left = charged - actual_tokens;
        while left > 0 {
            let Some(part) = receipt.parts.pop() else {
                return;
            };
            let tokens = part.tokens.min(left);
            left -= tokens;
            self.refund(&part, tokens, next_call, now);
        }
    }

    /// Returns when a call for the team is due, or `None` if there is nothing to state or request.
    pub(super) fn call_due(
        &self,
        interval: time::Duration,
        now: time::Instant,
    ) -> Option<time::Instant> {
        if self.calls_at_once {
            return Some(now);
        }
        let regular = self.called_at.map_or(now, |at| at + interval);
        let unmet = self.waiting.iter().filter(|charge| !charge.is_granted);
        if let Some(retry_at) = unmet.map(|charge| charge.retry_at.unwrap_or(now)).min() {
            let retry_at = retry_at.min(regular);
            let paused = self.called_at.filter(|_| self.reply.partial);
            let pause_ends = paused.map_or(now, |at| at + PARTIAL_GRANT_PAUSE);
            return Some(retry_at.max(pause_ends));
        }
        if self.unstated * SPENT_PART_OF_BURST >= self.burst.max(1) {
            let early = self.called_at.map_or(now, |at| at + SPENT_CALL_PAUSE);
            return Some(early.min(regular));
        }
        let has_nothing_to_state = self.grants.is_empty() && self.refunds.is_empty();
        (!has_nothing_to_state).then_some(regular)
    }

    /// Returns the statements and the request of a call for the team.
    pub(super) fn request(
        &mut self,
        team: &name::TeamName,
        number: u64,
        settings: &rate::PoolSettings,
        now: time::Instant,
    ) -> rate::GrantRequest {
        self.expire(now);
        self.called_at = Some(now);
        self.calls_at_once = false;
        self.unstated = 0;
        let target = self.target(settings, now);
        self.return_idle(target, now);
        let balance = self.balance();
        let prefetch = if balance < target / 2 {
            target - balance
        } else {
            0
        };
        for grant in &mut self.grants {
            if grant.is_closed() {
                grant.closed_in.get_or_insert(number);
            }
        }
        let waiting = self.state_waiting(balance, now);
        self.stated = waiting.iter().map(|demand| demand.ticket).collect();
        let waiting_tokens = self.waiting.iter().map(|charge| charge.tokens);
        let missing = waiting_tokens.sum::<u64>().saturating_sub(balance);
        self.requested = missing + prefetch;
        let first = waiting.first();
        rate::GrantRequest {
            team: team.clone(),
            first_missing: first.map_or(amount::TokenCount::ZERO, |demand| demand.missing),
            missing: amount::TokenCount(missing),
            prefetch: amount::TokenCount(prefetch),
            waiting,
            statements: self.grants.iter().map(state_grant).collect(),
            refunds: self.refunds.clone(),
            overdrawn_total: amount::TokenCount(self.overdrawn_total),
            served_total: amount::TokenCount(self.served_total),
        }
    }

    /// Accepts the control leader's answer to the call that was built at `called_at`.
    pub(super) fn accept(
        &mut self,
        grant: &rate::TokenGrant,
        number: u64,
        last_refund: u64,
        called_at: time::Instant,
        now: time::Instant,
    ) {
        self.grants
            .retain(|held| held.closed_in.is_none_or(|closed_in| closed_in > number));
        self.refunds.retain(|refund| refund.sequence > last_refund);
        self.accept_waits(grant, now);
        self.reply.partial = grant.tokens.0 < self.requested;
        self.reply.scarce = grant.scarce;
        self.reply.recovering = grant.recovering;
        self.weight = grant.weight;
        if grant.tokens.0 == 0 {
            return;
        }
        self.grants.push(HeldGrant {
            id: grant.id,
            balance: grant.tokens.0,
            reserved: 0,
            spent: 0,
            received_at: now,
            expires_at: called_at + grant.expiry_in,
            closed_in: None,
        });
        self.expire(now);
    }

    /// Records that the control leader does not know the team yet; its requests ask again after `retry_after`.
    pub(super) fn record_unknown_team(&mut self, retry_after: time::Duration, now: time::Instant) {
        for charge in &mut self.waiting {
            charge.retry_at = Some(now + retry_after);
        }
    }

    /// Removes a request that no longer waits.
    ///
    /// Tokens that were granted to it are returned with a call that is due at once, since other instances
    /// may wait for them.
    pub(super) fn withdraw(&mut self, ticket: rate::ChargeTicket) {
        let withdrawn = self.take_waiting(ticket);
        self.calls_at_once |= withdrawn.is_some_and(|charge| charge.is_granted);
    }

    /// Returns the sequence number of the latest refund.
    pub(super) fn refund_sequence(&self) -> u64 {
        self.refund_sequence
    }

    fn take_waiting(&mut self, ticket: rate::ChargeTicket) -> Option<WaitingCharge> {
        let waiting = &self.waiting;
        let index = waiting.iter().position(|charge| charge.ticket == ticket)?;
        Some(self.waiting.remove(index))
    }

    /// Returns the tokens that a request may take: those that no request before it waits for, and while
    /// tokens are scarce without what more urgent ones are about to spend.
    fn available_to(&self, charge: &WaitingCharge, now: time::Instant) -> u64 {
        let before = self.waiting.iter();
        let before = before.filter(|waiting| waiting.order() < charge.order());
        let claimed: u64 = before.map(|waiting| waiting.tokens).sum();
        let reserve = self.reserve_before(charge, now);
        self.balance().saturating_sub(claimed + reserve)
    }

    /// Returns the tokens that a request leaves to more urgent ones while tokens are scarce.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is finite and not negative"
    )]
    fn reserve_before(&self, charge: &WaitingCharge, now: time::Instant) -> u64 {
        if charge.is_granted || !self.reply.scarce {
            return 0;
        }
        let rate = self.demand.rate_before(charge.rank, now);
        (rate * RESERVE_HORIZON.as_secs_f64()) as u64
    }

    fn wait_for_tokens(
        &mut self,
        mut charge: WaitingCharge,
        now: time::Instant,
    ) -> rate::ChargeOutcome {
        charge.is_granted = false;
        let retry_after = charge.retry_at.map(|at| at.saturating_duration_since(now));
        let waiting = &self.waiting;
        let index = waiting.partition_point(|waiting| waiting.order() < charge.order());
        self.waiting.insert(index, charge);
        let tokens = self.waiting.iter().map(|charge| charge.tokens);
        let missing = tokens.sum::<u64>().saturating_sub(self.balance());
        rate::ChargeOutcome::MissingTokens {
            missing: amount::TokenCount(missing),
            retry_after,
            recovering: self.reply.recovering,
        }
    }

    /// Returns the waiting requests that the balance does not cover, with what they lack.
    fn state_waiting(&self, balance: u64, now: time::Instant) -> Vec<rate::WaitingDemand> {
        let mut left = balance;
        let demands = self.waiting.iter().filter_map(|charge| {
            let reserve = self.reserve_before(charge, now);
            let covered = charge.tokens.min(left.saturating_sub(reserve));
            left -= covered;
            let missing = charge.tokens - covered;
            let waits = charge.waits_until.saturating_duration_since(now);
            (missing > 0).then(|| rate::WaitingDemand {
                ticket: charge.ticket,
                rank: charge.rank,
                is_returning: charge.is_returning,
                missing: amount::TokenCount(missing),
                waits_ms: u64::try_from(waits.as_millis()).unwrap_or(u64::MAX),
            })
        });
        demands.take(MAX_STATED_WAITING).collect()
    }

    /// Records which of the stated requests were granted tokens, and when the others can expect theirs.
    fn accept_waits(&mut self, grant: &rate::TokenGrant, now: time::Instant) {
        let stated = std::mem::take(&mut self.stated);
        for (index, ticket) in stated.into_iter().enumerate() {
            let Some(charge) = self
                .waiting
                .iter_mut()
                .find(|charge| charge.ticket == ticket)
            else {
                continue;
            };
            let wait = grant.waits_ms.get(index).copied().flatten();
            let wait = wait.map(time::Duration::from_millis);
            // A version that states no single waits states the one of the first request.
            let wait = wait.or(grant.retry_after);
            charge.is_granted = wait.is_some_and(|wait| wait.is_zero());
            charge.retry_at = wait.map(|wait| now + wait);
        }
        self.waiting.sort_by_key(WaitingCharge::order);
    }

    fn expire(&mut self, now: time::Instant) {
        for grant in &mut self.grants {
            if !grant.is_alive(now) {
                grant.balance = 0;
                grant.reserved = 0;
            }
        }
        self.grants
            .retain(|grant| now < grant.expires_at + STATEMENT_RETENTION);
    }

    /// Reserves tokens of the oldest grants, which expire first.
    fn reserve(&mut self, tokens: u64) -> Vec<ReceiptPart> {
        let mut parts = Vec::with_capacity(1);
        let mut left = tokens;
        for grant in &mut self.grants {
            let taken = grant.balance.min(left);
            if taken == 0 {
                continue;
            }
            grant.balance -= taken;
            grant.reserved += taken;
            left -= taken;
            parts.push(ReceiptPart {
                grant: grant.id,
                tokens: taken,
                stated_in: None,
            });
        }
        parts
    }

    fn reserved_in(&self, id: rate::GrantId) -> u64 {
        let grant = self.grants.iter().find(|grant| grant.id == id);
        grant.map_or(0, |grant| grant.reserved)
    }

    fn grant_mut(&mut self, id: rate::GrantId) -> Option<&mut HeldGrant> {
        self.grants.iter_mut().find(|grant| grant.id == id)
    }

    fn spend(&mut self, id: rate::GrantId, tokens: u64) {
        if let Some(grant) = self.grant_mut(id) {
            grant.reserved -= tokens;
            grant.spent += tokens;
            self.unstated += tokens;
        }
    }

    /// Returns the unsent parts of a receipt to the balance.
    fn release(&mut self, receipt: &mut rate::ChargeReceipt) {
        for part in &receipt.parts {
            if part.stated_in.is_some() {
                continue;
            }
            if let Some(grant) = self.grant_mut(part.grant) {
                let tokens = part.tokens.min(grant.reserved);
                grant.reserved -= tokens;
                grant.balance += tokens;
            }
        }
        receipt.parts.retain(|part| part.stated_in.is_some());
    }

    fn refund(&mut self, part: &ReceiptPart, tokens: u64, next_call: u64, now: time::Instant) {
        let stated_in = part.stated_in.unwrap_or(next_call);
        let unstated = stated_in == next_call;
        if unstated && let Some(grant) = self.grant_mut(part.grant) {
            grant.spent -= tokens;
            if grant.is_alive(now) {
                grant.balance += tokens;
            }
            return;
        }
        self.refund_sequence += 1;
        self.refunds.push(rate::TokenRefund {
            sequence: self.refund_sequence,
            grant: part.grant,
            stated_in,
            tokens: amount::TokenCount(tokens),
        });
    }

    fn overdraw(&mut self, tokens: u64) {
        let covered = tokens.min(self.balance());
        for part in self.reserve(covered) {
            self.spend(part.grant, part.tokens);
        }
        self.overdrawn_total += tokens - covered;
    }

    fn record_spend(&mut self, tokens: u64, now: time::Instant) {
        let recent = self.spend_rate(now);
        self.spend_per_s = recent + to_float(tokens) / SPEND_AVERAGING_TIME.as_secs_f64();
        self.spend_updated_at = now;
        self.last_charge = tokens;
    }

    fn spend_rate(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.spend_updated_at);
        self.spend_per_s * (-age.as_secs_f64() / SPEND_AVERAGING_TIME.as_secs_f64()).exp()
    }

    /// Returns the balance that recent spending calls for, or zero if it does not cover a whole request.
    ///
    /// Many instances see only an occasional request of a team. If each of them held tokens for a part of
    /// its next request, most of the team's tokens would be idle.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is finite and not negative"
    )]
    fn target(&self, settings: &rate::PoolSettings, now: time::Instant) -> u64 {
        let horizon = settings.prefetch_horizon.as_secs_f64();
        let target = (self.spend_rate(now) * horizon) as u64;
        if self.retired || target < self.last_charge {
            return 0;
        }
        target.min(self.burst)
    }

    /// Returns all tokens that no request holds, and makes the call due that reports this.
    pub(super) fn retire(&mut self) {
        for grant in &mut self.grants {
            grant.balance = 0;
        }
        self.retired = true;
        self.calls_at_once = true;
    }

    /// Returns tokens beyond the target balance, from the oldest grants first.
    fn return_idle(&mut self, target: u64, now: time::Instant) {
        let keep = if self.reply.scarce {
            target
        } else {
            target * 2
        };
        let waiting = self.waiting.iter().map(|charge| charge.tokens);
        let keep = keep.max(waiting.sum());
        let mut excess = self.balance().saturating_sub(keep);
        for grant in &mut self.grants {
            let age = now.saturating_duration_since(grant.received_at);
            if age < FRESH_GRANT_AGE && !self.reply.scarce {
                continue;
            }
            let returned = grant.balance.min(excess);
            grant.balance -= returned;
            excess -= returned;
        }
    }
}

fn state_grant(grant: &HeldGrant) -> rate::GrantStatement {
    rate::GrantStatement {
        id: grant.id,
        spent: amount::TokenCount(grant.spent),
        kept: amount::TokenCount(grant.balance + grant.reserved),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 52 bits"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
