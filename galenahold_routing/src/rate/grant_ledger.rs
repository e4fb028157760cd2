//! The token buckets of all teams at the control leader.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name};

use crate::rate;
use crate::rate::team_bucket::TeamBucket;

/// The control leader's side of rate limiting: grants tokens of each team's bucket to instances.
///
/// A ledger exists for one leadership. It must start after the end of the earlier leader's lease, since
/// the earlier leader may grant tokens until then. The new leader does not know those grants, so each
/// level stays at zero until none of their tokens can be spent any more, and refills from there.
#[derive(Debug)]
pub struct GrantLedger {
    term: u64,
    settings: rate::LedgerSettings,
    refills_from: time::Instant,
    next_grant: u64,
    buckets: collections::BTreeMap<name::TeamName, BucketEntry>,
    fairness: rate::FairnessCorrection,
    changes: Vec<rate::LimitChange>,
}

/// A team's bucket, which is kept when the team is removed, so that adding the team again creates no tokens.
#[derive(Debug)]
struct BucketEntry {
    bucket: TeamBucket,
    active: bool,
}

impl GrantLedger {
    /// Returns the ledger of a leadership that starts at `started_at`.
    #[must_use]
    pub fn new(term: u64, settings: rate::LedgerSettings, started_at: time::Instant) -> Self {
        Self {
            term,
            refills_from: started_at + settings.refill_delay(),
            settings,
            next_grant: 1,
            buckets: collections::BTreeMap::new(),
            fairness: rate::FairnessCorrection::default(),
            changes: Vec::new(),
        }
    }

    /// Applies the teams of an intent.
    ///
    /// The bucket of a team that is new to this leadership holds the tokens that would have refilled since
    /// the leadership started.
    pub fn set_teams(&mut self, teams: &[intent::TeamIntent], now: time::Instant) {
        for entry in self.buckets.values_mut() {
            entry.active = false;
        }
        for team in teams {
            self.set_team(team, now);
        }
        for (team, entry) in &self.buckets {
            if !entry.active {
                self.fairness.remove(team);
            }
        }
    }

    /// Answers a call: applies its statements and grants tokens.
    ///
    /// A call that is not newer than the last one of its holder gets no grants.
    pub fn grant(&mut self, call: &rate::GrantCall, now: time::Instant) -> rate::GrantReply {
        let mut grants = Vec::with_capacity(call.teams.len());
        for request in &call.teams {
            grants.extend(self.grant_team(call, request, now));
        }
        rate::GrantReply {
            number: call.number,
            grants,
        }
    }

    /// Returns which teams went beyond their limit or are within it again, as noticed since the last call; each
    /// team at most once in 5 s.
    pub fn take_changes(&mut self) -> Vec<rate::LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the tokens that are available in a team's bucket.
    #[must_use]
    pub fn level(&mut self, team: &name::TeamName, now: time::Instant) -> amount::TokenCount {
        let entry = self.buckets.get_mut(team);
        amount::TokenCount(entry.map_or(0, |entry| {
            entry.bucket.advance(now);
            entry.bucket.level()
        }))
    }

    /// Returns the tokens of a team that are granted and not known to be spent or returned.
    #[must_use]
    pub fn outstanding(&self, team: &name::TeamName) -> amount::TokenCount {
        let entry = self.buckets.get(team);
        amount::TokenCount(entry.map_or(0, |entry| entry.bucket.outstanding()))
    }

    fn set_team(&mut self, team: &intent::TeamIntent, now: time::Instant) {
        let refills_from = self.refills_from;
        let entry = self
            .buckets
            .entry(team.name.clone())
            .or_insert_with(|| BucketEntry {
                bucket: TeamBucket::new(team, refills_from),
                active: true,
            });
        entry.bucket.set_limits(team, now);
        entry.active = true;
        self.fairness.set_weight(&team.name, team.weight, now);
    }

    fn grant_team(
        &mut self,
        call: &rate::GrantCall,
        request: &rate::GrantRequest,
        now: time::Instant,
    ) -> Option<rate::TokenGrant> {
        let entry = self.buckets.get_mut(&request.team)?;
        let bucket = &mut entry.bucket;
        if !bucket.is_new_call(call) {
            return None;
        }
        bucket.advance(now);
        let served = bucket.apply_request(call, request, self.term);
        if !entry.active {
            return None;
        }
        self.fairness.record(&request.team, served, now);
        let withdrawal = bucket.decide(&call.instance, request, now, &self.settings);
        self.changes.extend(bucket.take_change(&request.team, now));
        let number = self.next_grant;
        self.next_grant += 1;
        if withdrawal.tokens > 0 {
            let write_off_at = now + self.settings.write_off_after();
            bucket.record_grant(&call.instance, number, withdrawal.tokens, write_off_at);
        }
        Some(rate::TokenGrant {
            team: request.team.clone(),
            id: rate::GrantId {
                term: self.term,
                number,
            },
            tokens: amount::TokenCount(withdrawal.tokens),
            expiry_in: self.settings.grant_expiry,
            retry_after: withdrawal.retry_after,
            waits_ms: withdrawal.waits.into_iter().map(to_millis).collect(),
            scarce: withdrawal.scarce,
            recovering: withdrawal.recovering,
            weight: self.fairness.weight(&request.team, now),
        })
    }
}

/// Returns a wait in whole milliseconds; only a wait of zero is rounded to zero.
fn to_millis(wait: Option<time::Duration>) -> Option<u64> {
    let millis = wait?.as_nanos().div_ceil(1_000_000);
    u64::try_from(millis).ok()
}
