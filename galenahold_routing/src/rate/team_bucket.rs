//! The token bucket of one team at the control leader.

use std::collections;
use std::time;

use galenahold_domain::{intent, name};

use crate::rate;
use crate::rate::holder_account::{HolderAccount, OpenGrant};
use crate::rate::level_history::LevelHistory;

const NANOTOKENS_PER_TOKEN: i128 = 1_000_000_000;

/// Maximum time for which a new leader's bucket counts as recovering. The limit is needed because a team that
/// requests more than its rate never fills its bucket.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(4);

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
    pending: collections::VecDeque<PendingDemand>,
}

/// A holder that waits until the level covers its first waiting request.
#[derive(Debug)]
struct PendingDemand {
    instance: name::InstanceName,
    first_missing: u64,
    requested_at: time::Instant,
}

/// The tokens that a bucket gives to one request, with the state of the bucket.
#[derive(Debug)]
pub(super) struct BucketWithdrawal {
    pub(super) tokens: u64,
    pub(super) retry_after: Option<time::Duration>,
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
            pending: collections::VecDeque::new(),
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
        self.expire_pending(now, settings);
        let needed = self.withdraw_needed(instance, request, now);
        let claimed: u64 = self.pending.iter().map(|demand| demand.first_missing).sum();
        let left = self.level().saturating_sub(needed).saturating_sub(claimed);
        let waits = self
            .pending
            .iter()
            .any(|demand| demand.instance == *instance);
        let prefetch = if waits {
            0
        } else {
            request.prefetch.0.min(left)
        };
        BucketWithdrawal {
            tokens: needed + prefetch,
            retry_after: waits.then(|| self.predict_wait(instance, now)).flatten(),
            scarce: !self.pending.is_empty(),
            recovering: self.recovers_until.is_some(),
        }
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

    fn expire_pending(&mut self, now: time::Instant, settings: &rate::LedgerSettings) {
        let expiry = settings.pending_expiry;
        self.pending
            .retain(|demand| now.duration_since(demand.requested_at) < expiry);
    }

    /// Returns the tokens for a holder's waiting requests once the level covers the first of them.
    ///
    /// Holders are served in the order in which they asked.
    fn withdraw_needed(
        &mut self,
        instance: &name::InstanceName,
        request: &rate::GrantRequest,
        now: time::Instant,
    ) -> u64 {
        let first_missing = request.first_missing.0;
        if first_missing == 0 || first_missing > self.burst {
            self.pending.retain(|demand| demand.instance != *instance);
            return 0;
        }
        self.record_pending(instance, first_missing, now);
        let ahead = self.claimed_ahead(instance);
        let available = self.level().saturating_sub(ahead);
        if available < first_missing {
            return 0;
        }
        self.pending.retain(|demand| demand.instance != *instance);
        let claimed: u64 = self.pending.iter().map(|demand| demand.first_missing).sum();
        let unclaimed = self.level().saturating_sub(claimed);
        request.missing.0.min(unclaimed).max(first_missing)
    }

    fn record_pending(
        &mut self,
        instance: &name::InstanceName,
        first_missing: u64,
        now: time::Instant,
    ) {
        let known = self
            .pending
            .iter_mut()
            .find(|demand| demand.instance == *instance);
        if let Some(demand) = known {
            demand.first_missing = first_missing;
            demand.requested_at = now;
            return;
        }
        self.pending.push_back(PendingDemand {
            instance: instance.clone(),
            first_missing,
            requested_at: now,
        });
    }

    fn claimed_ahead(&self, instance: &name::InstanceName) -> u64 {
        self.pending
            .iter()
            .take_while(|demand| demand.instance != *instance)
            .map(|demand| demand.first_missing)
            .sum()
    }

    fn predict_wait(
        &self,
        instance: &name::InstanceName,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let own = self
            .pending
            .iter()
            .find(|demand| demand.instance == *instance)?;
        let needed =
            i128::from(self.claimed_ahead(instance) + own.first_missing) * NANOTOKENS_PER_TOKEN;
        let missing = u128::try_from(needed - self.level).unwrap_or(0);
        let nanos = missing.div_ceil(u128::from(self.rate).max(1));
        let refill = time::Duration::from_nanos(u64::try_from(nanos).ok()?);
        let blocked = self.refilled_at.saturating_duration_since(now);
        (self.rate > 0).then_some(blocked + refill)
    }
}
