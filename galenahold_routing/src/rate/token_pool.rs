//! The tokens of all teams at one instance.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name};

use crate::rate;
use crate::rate::pool_account::PoolAccount;

/// The instance's side of rate limiting: the tokens that were granted to it, for all teams.
///
/// A request is charged before it waits for a replica, and its receipt is confirmed as the last
/// step before it is sent. After a reply of the control leader is accepted, requests that lacked tokens
/// are charged again.
///
/// # Examples
///
/// ```
/// # use std::time;
/// # use galenahold_domain::{amount, intent, name};
/// # use galenahold_routing::rate;
/// # let now = time::Instant::now();
/// # let team = intent::TeamIntent {
/// #     name: name::TeamName::from("blue"),
/// #     rate_tokens_per_s: amount::TokensPerSecond(100),
/// #     burst_tokens: amount::TokenCount(1_000),
/// #     weight: 1,
/// # };
/// let mut pool = rate::TokenPool::new(
///     name::InstanceName::from("entry-1"),
///     amount::IncarnationNumber(1),
///     rate::PoolSettings::default(),
/// );
/// pool.set_teams(&[team.clone()], now);
/// let request = rate::ChargeRequest {
///     team: team.name.clone(),
///     tokens: amount::TokenCount(10),
///     ticket: pool.issue_ticket(),
///     rank: 0,
///     is_returning: false,
///     waits_until: now + time::Duration::from_millis(400),
/// };
/// let outcome = pool.charge(&request, now);
/// assert!(matches!(outcome, rate::ChargeOutcome::MissingTokens { .. }));
/// let call = pool.call(now).expect("a request waits");
/// assert_eq!(call.teams[0].missing, amount::TokenCount(10));
/// ```
#[derive(Debug)]
pub struct TokenPool {
    instance: name::InstanceName,
    incarnation: amount::IncarnationNumber,
    settings: rate::PoolSettings,
    accounts: collections::BTreeMap<name::TeamName, PoolAccount>,
    next_call: u64,
    next_ticket: u64,
    in_flight: Option<CallInFlight>,
    highest_term: u64,
}

#[derive(Debug)]
struct CallInFlight {
    number: u64,
    sent_at: time::Instant,
    teams: Vec<CalledTeam>,
}

#[derive(Debug)]
struct CalledTeam {
    team: name::TeamName,
    last_refund: u64,
}

impl TokenPool {
    /// Returns an empty pool for one incarnation of an instance.
    #[must_use]
    pub fn new(
        instance: name::InstanceName,
        incarnation: amount::IncarnationNumber,
        settings: rate::PoolSettings,
    ) -> Self {
        Self {
            instance,
            incarnation,
            settings,
            accounts: collections::BTreeMap::new(),
            next_call: 1,
            next_ticket: 1,
            in_flight: None,
            highest_term: 0,
        }
    }

    /// Applies the teams of an intent.
    pub fn set_teams(&mut self, teams: &[intent::TeamIntent], now: time::Instant) {
        for account in self.accounts.values_mut() {
            account.active = false;
        }
        for team in teams {
            self.accounts
                .entry(team.name.clone())
                .or_insert_with(|| PoolAccount::new(team, now))
                .set_limits(team);
        }
    }

    /// Returns a ticket for a request.
    pub fn issue_ticket(&mut self) -> rate::ChargeTicket {
        let ticket = rate::ChargeTicket(self.next_ticket);
        self.next_ticket += 1;
        ticket
    }

    /// Reserves tokens for a request.
    ///
    /// A request that lacks tokens waits until it is charged again or withdrawn. Tokens go to waiting
    /// requests first that the control leader granted them to, then by rank, then to returning callers.
    pub fn charge(
        &mut self,
        request: &rate::ChargeRequest,
        now: time::Instant,
    ) -> rate::ChargeOutcome {
        match self.accounts.get_mut(&request.team) {
            Some(account) => account.charge(request, now),
            None => rate::ChargeOutcome::UnknownTeam,
        }
    }

    /// Withdraws the demand of a request that gives up.
    pub fn withdraw(&mut self, team: &name::TeamName, ticket: rate::ChargeTicket) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.withdraw(ticket);
        }
    }

    /// Marks the tokens of a receipt as spent; call it as the last step before the request is sent.
    ///
    /// Returns false if the tokens have expired: the request must not be sent and has to be charged
    /// again.
    #[must_use]
    pub fn confirm_charge(
        &mut self,
        receipt: &mut rate::ChargeReceipt,
        now: time::Instant,
    ) -> bool {
        let next_call = self.next_call;
        let account = self.accounts.get_mut(&receipt.team);
        account.is_some_and(|account| account.confirm(receipt, next_call, now))
    }

    /// Settles a charge with the tokens that the request actually used, or zero if it was not sent.
    ///
    /// Unused tokens of the charge are returned. Tokens used beyond the charge are deducted from the
    /// balance, and what the balance does not cover is reported as overdrawn.
    pub fn settle(
        &mut self,
        receipt: rate::ChargeReceipt,
        actual_tokens: amount::TokenCount,
        now: time::Instant,
    ) {
        let next_call = self.next_call;
        if let Some(account) = self.accounts.get_mut(&receipt.team) {
            account.settle(receipt, actual_tokens.0, next_call, now);
        }
    }

    /// Returns the call to send to the control leader now, if one is due.
    ///
    /// At most one call is in flight; a call without a reply within the timeout counts as lost.
    pub fn call(&mut self, now: time::Instant) -> Option<rate::GrantCall> {
        if self.call_at(now)? > now {
            return None;
        }
        self.mark_call_lost();
        let number = self.next_call;
        self.next_call += 1;
        let mut teams = Vec::new();
        let mut called = Vec::new();
        for (team, account) in &mut self.accounts {
            // Teams that are due soon are included, so that the number of calls does not grow with the
            // number of teams.
            let due = account.call_due(self.settings.call_interval, now);
            if due.is_none_or(|at| at > now + self.settings.call_interval) {
                continue;
            }
            teams.push(account.request(team, number, &self.settings, now));
            called.push(CalledTeam {
                team: team.clone(),
                last_refund: account.refund_sequence(),
            });
        }
        self.in_flight = Some(CallInFlight {
            number,
            sent_at: now,
            teams: called,
        });
        Some(rate::GrantCall {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            number,
            teams,
        })
    }

    /// Returns when the next call is due, or `None` if there is nothing to state or request.
    #[must_use]
    pub fn call_at(&self, now: time::Instant) -> Option<time::Instant> {
        let lost_at = self
            .in_flight
            .as_ref()
            .map(|call| call.sent_at + self.settings.call_timeout);
        let due = self
            .accounts
            .values()
            .filter_map(|account| account.call_due(self.settings.call_interval, now))
            .min();
        match (lost_at, due) {
            (Some(lost_at), Some(due)) => Some(lost_at.max(due)),
            (Some(lost_at), None) => Some(lost_at),
            (None, due) => due,
        }
    }

    /// Accepts a reply of the control leader; returns whether it answers the call in flight.
    ///
    /// A reply to an earlier call is dropped, and so are grants of an earlier leader.
    pub fn accept(&mut self, reply: &rate::GrantReply, now: time::Instant) -> bool {
        let answers = |call: &CallInFlight| call.number == reply.number;
        if !self.in_flight.as_ref().is_some_and(answers) {
            return false;
        }
        let Some(call) = self.in_flight.take() else {
            return false;
        };
        for called in &call.teams {
            let grant = reply.grants.iter().find(|grant| grant.team == called.team);
            self.accept_team(called, grant, &call, now);
        }
        true
    }

    /// Records that the call in flight failed, so that the next one is due at once.
    ///
    /// A reply that still arrives is dropped.
    pub fn call_failed(&mut self, number: u64) {
        let failed = |call: &CallInFlight| call.number == number;
        if self.in_flight.as_ref().is_some_and(failed) {
            self.mark_call_lost();
        }
    }

    /// Returns all tokens that no request holds; the next call, which is due at once, reports this.
    ///
    /// An instance that stops calls this after its requests have ended.
    pub fn retire(&mut self) {
        for account in self.accounts.values_mut() {
            account.retire();
        }
    }

    /// Returns a team's weight in fair queues, with the fleet-wide correction.
    #[must_use]
    pub fn weight(&self, team: &name::TeamName) -> Option<f64> {
        self.accounts.get(team).map(PoolAccount::weight)
    }

    /// Returns the tokens of a team that can be charged without a call to the control leader.
    #[must_use]
    pub fn balance(&self, team: &name::TeamName) -> amount::TokenCount {
        amount::TokenCount(self.accounts.get(team).map_or(0, PoolAccount::balance))
    }

    fn mark_call_lost(&mut self) {
        let Some(call) = self.in_flight.take() else {
            return;
        };
        for called in call.teams {
            if let Some(account) = self.accounts.get_mut(&called.team) {
                account.calls_at_once = true;
            }
        }
    }

    fn accept_team(
        &mut self,
        called: &CalledTeam,
        grant: Option<&rate::TokenGrant>,
        call: &CallInFlight,
        now: time::Instant,
    ) {
        let Some(account) = self.accounts.get_mut(&called.team) else {
            return;
        };
        let Some(grant) = grant.filter(|grant| grant.id.term >= self.highest_term) else {
            account.record_unknown_team(self.settings.call_interval, now);
            return;
        };
        self.highest_term = grant.id.term;
        account.accept(grant, call.number, called.last_refund, call.sent_at, now);
    }
}
