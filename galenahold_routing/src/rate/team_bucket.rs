//! The token bucket of one team at the control leader.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name};

use crate::rate;
use crate::rate::holder_account::{HolderAccount, OpenGrant};
use crate::rate::level_history::LevelHistory;
use crate::rate::pending_demand::PendingDemand;
use crate::rate::rank_demand::RankDemand;
use crate::rate::retry_schedule::RetrySchedule;

const NANOTOKENS_PER_TOKEN: i128 = 1_000_000_000;

/// Maximum time for which a new leader's bucket counts as recovering. The limit is needed because a team that
/// requests more than its rate never fills its bucket.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(4);

/// Rank of the requests of instances whose version states no ranks: the most urgent one, so that they are
/// no worse off while the instances are replaced.
const UNSTATED_RANK: u32 = 0;

/// While the team is beyond its limit, the bucket keeps what the more urgent ranks are expected to ask for in
/// this time from the less urgent ones: a message from an instance and its reply take a few tens of
/// milliseconds, and grants arrive in batches.
const RESERVE_HORIZON: time::Duration = time::Duration::from_millis(200);

/// While the team is beyond its limit, each rank that asks for tokens gets one of this many tokens that more
/// urgent ranks get.
const STARVATION_DIVISOR: u64 = 10;

/// Shortest time that a rejected call is told to wait.
const MIN_RETRY: time::Duration = time::Duration::from_millis(200);

/// Longest time that a rejected call is told to wait. Callers wait for a third of their remaining time at
/// most, which is 8.3 s for those with the longest deadlines, and are not sure to come back.
const MAX_RETRY: time::Duration = time::Duration::from_secs(7);

/// Shortest time between two reports that the team is beyond its limit or within it.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The bucket of one team: its level, the grants from it and the holders that wait for tokens.
///
/// `level + outstanding <= burst` holds at all times. The level is kept in nanotokens, so a rate of
/// whole tokens per second refills it without rounding.
#[derive(Debug)]
pub(super) struct TeamBucket {
    rate: u64,
    burst: u64,
    pub(super) weight: u32,
    level: i128,
    outstanding: u64,
    refilled_at: time::Instant,
    /// Until when the bucket counts as recovering, unless it fills up earlier.
    recovers_until: Option<time::Instant>,
    next_write_off: Option<time::Instant>,
    history: LevelHistory,
    holders: collections::BTreeMap<name::InstanceName, HolderAccount>,
    /// Open grants of earlier incarnations of holders.
    orphans: Vec<OpenGrant>,
    pending: Vec<PendingDemand>,
    next_sequence: u64,
    demand: RankDemand,
    /// What each rank may take before more urgent ones while the team is beyond its limit.
    credits: collections::BTreeMap<u32, u64>,
    schedule: RetrySchedule,
    /// Whether the team was last reported beyond its limit, and when.
    reported: (bool, Option<time::Instant>),
}

/// The tokens that a bucket gives to one request, with the state of the bucket.
#[derive(Debug)]
pub(super) struct BucketWithdrawal {
    pub(super) tokens: u64,
    pub(super) retry_after: Option<time::Duration>,
    /// The wait of each stated request; zero if its tokens are in `tokens`.
    pub(super) waits: Vec<Option<time::Duration>>,
    pub(super) scarce: bool,
    pub(super) recovering: bool,
}

impl TeamBucket {
    /// Returns an empty bucket that starts to refill at `refills_from`.
    pub(super) fn new(team: &intent::TeamIntent, refills_from: time::Instant) -> Self {
        Self {
            rate: team.rate_tokens_per_s.0,
            burst: team.burst_tokens.0,
            weight: team.weight,
            level: 0,
            outstanding: 0,
            refilled_at: refills_from,
            recovers_until: Some(refills_from + RECOVERY_LIMIT),
            next_write_off: None,
            history: LevelHistory::default(),
            holders: collections::BTreeMap::new(),
            orphans: Vec::new(),
            pending: Vec::new(),
            next_sequence: 0,
            demand: RankDemand::default(),
            credits: collections::BTreeMap::new(),
            schedule: RetrySchedule::default(),
            reported: (false, None),
        }
    }

    /// Applies other limits; a lower burst reduces the level, and a higher one does not raise it.
    pub(super) fn set_limits(&mut self, team: &intent::TeamIntent, now: time::Instant) {
        self.advance(now);
        self.rate = team.rate_tokens_per_s.0;
        self.burst = team.burst_tokens.0;
        self.weight = team.weight;
        self.level = self.level.min(self.max_level());
    }

    /// Returns the whole tokens that are available.
    pub(super) fn level(&self) -> u64 {
        u64::try_from(self.level / NANOTOKENS_PER_TOKEN).unwrap_or(0)
    }

    /// Returns the tokens that are granted and not known to be spent or returned.
    pub(super) fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Returns whether a call is newer than all earlier calls of its holder.
    pub(super) fn is_new_call(&self, call: &rate::GrantCall) -> bool {
        self.holders.get(&call.instance).is_none_or(|holder| {
            let newer = call.incarnation > holder.incarnation;
            newer || (call.incarnation == holder.incarnation && call.number > holder.last_call)
        })
    }

    /// Refills the bucket and writes off expired grants up to `now`.
    pub(super) fn advance(&mut self, now: time::Instant) {
        while let Some(at) = self.next_write_off.filter(|at| *at <= now) {
            self.refill(at);
            self.write_off(at);
        }
        self.refill(now);
    }

    /// Applies a holder's statements and refunds; returns the tokens served since its last call.
    ///
    /// A grant without a statement never reached the holder and never will, since the holder accepts no
    /// reply to an earlier call. Its tokens return to the bucket.
    pub(super) fn apply_request(
        &mut self,
        call: &rate::GrantCall,
        request: &rate::GrantRequest,
        term: u64,
    ) -> u64 {
        let mut holder = self.take_holder(call, request);
        let sum_before = self.sum();
        self.history.record(sum_before);
        for grant in &mut holder.open {
            let statement = request
                .statements
                .iter()
                .find(|statement| statement.id.term == term && statement.id.number == grant.number);
            self.apply_statement(grant, statement);
        }
        holder.open.retain(|grant| grant.remaining > 0);
        self.apply_overdraft(&mut holder, request);
        let step = self.history.next_step();
        holder.record_call(call.number, step);
        for refund in &request.refunds {
            self.apply_refund(&mut holder, refund, term);
        }
        let served = request.served_total.0.saturating_sub(holder.served_total);
        holder.served_total = request.served_total.0.max(holder.served_total);
        self.holders.insert(call.instance.clone(), holder);
        served
    }

    /// Decides how many tokens a holder gets.
    pub(super) fn decide(
        &mut self,
        instance: &name::InstanceName,
        request: &rate::GrantRequest,
        now: time::Instant,
        settings: &rate::LedgerSettings,
    ) -> BucketWithdrawal {
        self.pending.retain(|demand| now < demand.expires_at);
        if !self.is_exceeded(now) {
            self.credits.clear();
        }
        let stated = stated_waiting(request);
        // A holder states all that it waits for, so that a demand it leaves out has been given up.
        self.pending.retain(|demand| {
            let is_stated = stated.iter().any(|own| own.ticket == demand.ticket);
            is_stated || demand.instance != *instance
        });
        let mut needed = 0;
        let mut waits = Vec::with_capacity(stated.len());
        for own in &stated {
            let wait = self.decide_demand(instance, own, needed, now, settings);
            if wait.is_some_and(|wait| wait.is_zero()) {
                needed += own.missing.0;
            }
            waits.push(wait);
        }
        if request.waiting.is_empty() && needed > 0 {
            let left = self.unclaimed(needed);
            needed += request.missing.0.saturating_sub(needed).min(left);
        }
        let is_exceeded = self.is_exceeded(now);
        let waits_on = waits.iter().any(|wait| *wait != Some(time::Duration::ZERO));
        let prefetch = if waits_on || is_exceeded {
            0
        } else {
            request.prefetch.0.min(self.unclaimed(needed))
        };
        let mut unmet = waits.iter().flatten().filter(|wait| !wait.is_zero());
        BucketWithdrawal {
            tokens: needed + prefetch,
            retry_after: unmet.next().copied(),
            waits,
            scarce: is_exceeded || !self.pending.is_empty(),
            recovering: self.recovers_until.is_some(),
        }
    }

    /// Returns whether the team has gone beyond its limit or is within it again since the last report.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is finite and not negative"
    )]
    pub(super) fn take_change(
        &mut self,
        team: &name::TeamName,
        now: time::Instant,
    ) -> Option<rate::LimitChange> {
        let is_exceeded = self.is_exceeded(now);
        let (was_exceeded, reported_at) = self.reported;
        let is_recent = reported_at.is_some_and(|at| now < at + CHANGE_INTERVAL);
        if is_exceeded == was_exceeded || is_recent {
            return None;
        }
        self.reported = (is_exceeded, Some(now));
        Some(rate::LimitChange {
            team: team.clone(),
            is_exceeded,
            asked_per_s: self.demand.rate(now) as u64,
            level: amount::TokenCount(self.level()),
            waiting: self.pending.len(),
        })
    }

    /// Debits the tokens of a grant.
    pub(super) fn record_grant(
        &mut self,
        instance: &name::InstanceName,
        number: u64,
        tokens: u64,
        write_off_at: time::Instant,
    ) {
        let Some(holder) = self.holders.get_mut(instance) else {
            return;
        };
        holder.open.push(OpenGrant {
            number,
            remaining: tokens,
            spent: 0,
            write_off_at,
        });
        self.level -= i128::from(tokens) * NANOTOKENS_PER_TOKEN;
        self.outstanding += tokens;
        let next = self.next_write_off.unwrap_or(write_off_at);
        self.next_write_off = Some(next.min(write_off_at));
    }

    fn sum(&self) -> i128 {
        self.level + i128::from(self.outstanding) * NANOTOKENS_PER_TOKEN
    }

    fn max_level(&self) -> i128 {
        (i128::from(self.burst) - i128::from(self.outstanding)) * NANOTOKENS_PER_TOKEN
    }

    fn refill(&mut self, now: time::Instant) {
        let Some(elapsed) = now.checked_duration_since(self.refilled_at) else {
            return;
        };
        let nanos = i128::try_from(elapsed.as_nanos()).unwrap_or(i128::MAX / NANOTOKENS_PER_TOKEN);
        let refill = nanos.saturating_mul(i128::from(self.rate));
        let refilled = self.level.saturating_add(refill);
        self.level = refilled.min(self.max_level());
        self.refilled_at = now;
        // A full bucket holds all that the team is entitled to, whatever an earlier leader granted.
        let full = refilled >= self.max_level();
        self.recovers_until = self.recovers_until.filter(|until| !full && now < *until);
    }

    /// Counts the remaining tokens of grants that have expired by `at` as spent.
    ///
    /// The tokens can't be credited, since a holder that stopped calling may have spent all of them just
    /// before they expired.
    fn write_off(&mut self, at: time::Instant) {
        let sum_before = self.sum();
        self.history.record(sum_before);
        let mut written_off = 0;
        self.orphans.retain(|grant| {
            let open = grant.write_off_at > at;
            if !open {
                written_off += grant.remaining;
            }
            open
        });
        for holder in self.holders.values_mut() {
            written_off += holder.write_off(at);
        }
        self.outstanding -= written_off;
        self.history.next_step();
        let grants = self.holders.values().flat_map(|holder| &holder.open);
        self.next_write_off = grants
            .chain(&self.orphans)
            .map(|grant| grant.write_off_at)
            .min();
    }

    fn take_holder(
        &mut self,
        call: &rate::GrantCall,
        request: &rate::GrantRequest,
    ) -> HolderAccount {
        let (overdrawn, served) = (request.overdrawn_total.0, request.served_total.0);
        let known = self.holders.remove(&call.instance);
        match known {
            Some(holder) if holder.incarnation == call.incarnation => holder,
            Some(mut earlier) => {
                self.orphans.append(&mut earlier.open);
                HolderAccount::new(call.incarnation, call.number, overdrawn, 0)
            }
            None => HolderAccount::new(call.incarnation, call.number, overdrawn, served),
        }
    }

    fn apply_statement(&mut self, grant: &mut OpenGrant, statement: Option<&rate::GrantStatement>) {
        let (spent, kept) = statement.map_or((0, 0), |stated| (stated.spent.0, stated.kept.0));
        let newly_spent = spent.saturating_sub(grant.spent).min(grant.remaining);
        grant.spent += newly_spent;
        grant.remaining -= newly_spent;
        let returned = grant.remaining.saturating_sub(kept);
        grant.remaining -= returned;
        self.outstanding -= newly_spent + returned;
        self.level += i128::from(returned) * NANOTOKENS_PER_TOKEN;
    }

    fn apply_overdraft(&mut self, holder: &mut HolderAccount, request: &rate::GrantRequest) {
        let total = request.overdrawn_total.0;
        let overdrawn = total.saturating_sub(holder.overdrawn_total);
        holder.overdrawn_total = total.max(holder.overdrawn_total);
        self.level -= i128::from(overdrawn) * NANOTOKENS_PER_TOKEN;
    }

    fn apply_refund(&mut self, holder: &mut HolderAccount, refund: &rate::TokenRefund, term: u64) {
        if refund.sequence <= holder.last_refund {
            return;
        }
        holder.last_refund = refund.sequence;
        if refund.grant.term != term {
            return;
        }
        let sum = self.sum();
        self.history.record(sum);
        let step = holder.statement_step(refund.grant.number, refund.stated_in);
        let Some(peak) = step.and_then(|step| self.history.peak_since(step)) else {
            return;
        };
        let headroom = (i128::from(self.burst) * NANOTOKENS_PER_TOKEN - peak).max(0);
        let credit = headroom.min(i128::from(refund.tokens.0) * NANOTOKENS_PER_TOKEN);
        self.level += credit;
        self.history.raise(credit);
    }

    /// Returns whether the team's requests exceed its rate and burst.
    fn is_exceeded(&self, now: time::Instant) -> bool {
        self.demand.exceeds(self.rate, self.burst, now)
    }

    /// Returns the tokens beyond `withdrawn` that no request waits for.
    fn unclaimed(&self, withdrawn: u64) -> u64 {
        let claimed: u64 = self.pending.iter().map(|demand| demand.missing).sum();
        self.level().saturating_sub(withdrawn + claimed)
    }

    /// Decides about one waiting request while `withdrawn` tokens of the level go to the same holder.
    ///
    /// Returns its wait: zero if it gets its tokens now, absent if it can never get them. A request whose
    /// wait is longer than it can wait is not kept, since its holder rejects it; the wait then is the time
    /// after which its caller should come back.
    fn decide_demand(
        &mut self,
        instance: &name::InstanceName,
        own: &rate::WaitingDemand,
        withdrawn: u64,
        now: time::Instant,
        settings: &rate::LedgerSettings,
    ) -> Option<time::Duration> {
        let known = self.take_pending(instance, own.ticket);
        if own.missing.0 == 0 || own.missing.0 > self.burst {
            return None;
        }
        let sequence = known.unwrap_or_else(|| {
            self.demand.record(own.rank, own.missing.0, now);
            self.next_sequence += 1;
            self.next_sequence
        });
        let is_recovering = self.recovers_until.is_some();
        let waits = time::Duration::from_millis(own.waits_ms);
        // While the bucket recovers, holders keep their requests longer than they state.
        let repeats_within = if is_recovering {
            settings.pending_expiry
        } else {
            settings.pending_expiry.min(waits)
        };
        let demand = PendingDemand {
            instance: instance.clone(),
            ticket: own.ticket,
            rank: own.rank,
            is_returning: own.is_returning,
            missing: own.missing.0,
            sequence,
            expires_at: now + repeats_within,
        };
        let ahead = self.claimed_before(&demand) + withdrawn;
        let needed = ahead + demand.missing + self.reserve_before(&demand, now);
        if self.level() >= needed {
            self.record_turn(&demand, now);
            return Some(time::Duration::ZERO);
        }
        let wait = self.predict_wait(demand.rank, needed, now)?;
        if wait <= waits || is_recovering {
            self.pending.push(demand);
            return Some(wait);
        }
        let earlier = self.schedule.tokens_before(demand.rank, now);
        let wait = self.predict_wait(demand.rank, needed + earlier, now)?;
        if wait < MAX_RETRY {
            let (rank, missing) = (demand.rank, demand.missing);
            self.schedule.reserve(rank, missing, now + wait);
        }
        Some(wait.clamp(MIN_RETRY, MAX_RETRY))
    }

    fn take_pending(
        &mut self,
        instance: &name::InstanceName,
        ticket: rate::ChargeTicket,
    ) -> Option<u64> {
        let pending = &self.pending;
        let index = pending
            .iter()
            .position(|demand| demand.is_of(instance, ticket))?;
        Some(self.pending.swap_remove(index).sequence)
    }

    /// Returns the key by which demands are ordered: those whose rank has enough credit go first, then the
    /// more urgent ranks, then returning callers, then those that asked earlier.
    fn order(&self, demand: &PendingDemand) -> (bool, u32, bool, u64) {
        (
            !self.has_credit(demand),
            demand.rank,
            !demand.is_returning,
            demand.sequence,
        )
    }

    fn has_credit(&self, demand: &PendingDemand) -> bool {
        let credit = self.credits.get(&demand.rank).copied().unwrap_or(0);
        credit >= demand.missing
    }

    fn claimed_before(&self, demand: &PendingDemand) -> u64 {
        let order = self.order(demand);
        let before = self.pending.iter();
        let before = before.filter(|pending| self.order(pending) < order);
        before.map(|pending| pending.missing).sum()
    }

    /// Returns the tokens that a demand leaves to more urgent ranks while the team is beyond its limit.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is finite and not negative"
    )]
    fn reserve_before(&self, demand: &PendingDemand, now: time::Instant) -> u64 {
        if self.has_credit(demand) || !self.is_exceeded(now) {
            return 0;
        }
        let rate = self.demand.rate_before(demand.rank, now);
        let reserve = (rate * RESERVE_HORIZON.as_secs_f64()) as u64;
        // A demand of the whole burst must still fit.
        reserve.min((self.burst - demand.missing) / 2)
    }

    /// Charges the tokens of a demand to its rank's credit, or credits the less urgent ranks with their share.
    fn record_turn(&mut self, demand: &PendingDemand, now: time::Instant) {
        if !self.is_exceeded(now) {
            return;
        }
        if self.has_credit(demand) {
            let credit = self.credits.entry(demand.rank).or_default();
            *credit -= demand.missing;
            return;
        }
        for rank in self.demand.ranks_after(demand.rank, now) {
            let credit = self.credits.entry(rank).or_default();
            *credit = (*credit + demand.missing / STARVATION_DIVISOR).min(self.burst);
        }
    }

    /// Returns the time until the level reaches `needed`, at the part of the rate that more urgent ranks
    /// leave to a rank.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is finite and not negative"
    )]
    fn predict_wait(&self, rank: u32, needed: u64, now: time::Instant) -> Option<time::Duration> {
        let urgent = if self.is_exceeded(now) {
            self.demand.rate_before(rank, now) as u64
        } else {
            0
        };
        let share = self.rate.div_ceil(STARVATION_DIVISOR);
        let rate = self.rate.saturating_sub(urgent).max(share);
        let needed = i128::from(needed) * NANOTOKENS_PER_TOKEN;
        let missing = u128::try_from(needed - self.level).unwrap_or(0);
        let nanos = missing.div_ceil(u128::from(rate).max(1));
        let refill = time::Duration::from_nanos(u64::try_from(nanos).ok()?);
        let blocked = self.refilled_at.saturating_duration_since(now);
        // A wait of zero would state that the tokens are granted.
        let wait = (blocked + refill).max(time::Duration::from_millis(1));
        (rate > 0).then_some(wait)
    }
}

/// Returns the waiting requests that a holder states; one for the first of them if its version states only
/// their sum.
fn stated_waiting(request: &rate::GrantRequest) -> Vec<rate::WaitingDemand> {
    if !request.waiting.is_empty() || request.first_missing == amount::TokenCount::ZERO {
        return request.waiting.clone();
    }
    vec![rate::WaitingDemand {
        ticket: rate::ChargeTicket(0),
        rank: UNSTATED_RANK,
        is_returning: false,
        missing: request.first_missing,
        waits_ms: u64::MAX,
    }]
}
