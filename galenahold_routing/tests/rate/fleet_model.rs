//! A model of the leader, the holders of tokens and their messages, with lost and delayed messages, restarts and
//! changes of leader.

use std::time;

use galenahold_domain::{amount, intent, name};
use galenahold_routing::rate;

/// One step of a random interleaving.
#[derive(Debug, Clone)]
pub(crate) enum FleetStep {
    /// Time advances.
    Wait { millis: u64 },
    /// A holder charges a request and sends it after a pause, unless the tokens expire in between.
    Spend {
        holder: usize,
        tokens: u64,
        pause_millis: u64,
    },
    /// A holder charges a request, gets the missing tokens from the leader and sends the request.
    RoundTrip { holder: usize, tokens: u64 },
    /// An earlier incarnation of a holder, which does not know that it was replaced, sends a request.
    SpendReplaced { holder: usize, tokens: u64 },
    /// A holder settles its oldest request with `percent` of its charge.
    Settle { holder: usize, percent: u64 },
    /// A holder makes a call if one is due.
    Call { holder: usize },
    /// The leader answers the oldest call in flight.
    Answer,
    /// The latest call in flight is lost.
    LoseCall,
    /// The oldest reply reaches its holder.
    Deliver,
    /// The latest reply in flight is lost.
    LoseReply,
    /// A holder restarts.
    Restart { holder: usize },
    /// Another leader takes over.
    ChangeLeader,
    /// The intent gives the team another rate and burst.
    ChangeLimits { rate: u64, burst: u64 },
}

/// Tokens of a request that was sent at a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PassedTokens {
    pub(crate) at: time::Instant,
    pub(crate) tokens: u64,
}

/// The state of the leader, its holders and the messages in flight between them.
pub(crate) struct FleetModel {
    pub(crate) now: time::Instant,
    pub(crate) passed: Vec<PassedTokens>,
    team: intent::TeamIntent,
    term: u64,
    ledger: rate::GrantLedger,
    holders: Vec<Holder>,
    calls: Vec<rate::GrantCall>,
    replies: Vec<AddressedReply>,
}

struct Holder {
    incarnation: u64,
    pool: rate::TokenPool,
    /// The pool of the earlier incarnation, which may still spend its tokens.
    replaced: Option<rate::TokenPool>,
    running: Vec<RunningRequest>,
}

struct RunningRequest {
    receipt: rate::ChargeReceipt,
    /// The index of the request's entry in `FleetModel::passed`.
    passed: usize,
}

struct AddressedReply {
    holder: usize,
    incarnation: u64,
    reply: rate::GrantReply,
}

pub(crate) fn team(rate: u64, burst: u64) -> intent::TeamIntent {
    intent::TeamIntent {
        name: name::TeamName::from("blue"),
        rate_tokens_per_s: amount::TokensPerSecond(rate),
        burst_tokens: amount::TokenCount(burst),
        weight: 1,
    }
}

fn pool(index: usize, incarnation: u64) -> rate::TokenPool {
    rate::TokenPool::new(
        name::InstanceName::from(format!("entry-{index}")),
        amount::IncarnationNumber(incarnation),
        rate::PoolSettings::default(),
    )
}

/// Returns the demand of a request that waits for tokens as long as it takes.
pub(crate) fn charge(
    team: &name::TeamName,
    ticket: u64,
    tokens: u64,
    now: time::Instant,
) -> rate::ChargeRequest {
    rate::ChargeRequest {
        team: team.clone(),
        tokens: amount::TokenCount(tokens),
        ticket: rate::ChargeTicket(ticket),
        rank: 0,
        is_returning: false,
        waits_until: now + time::Duration::from_secs(5),
    }
}

impl FleetModel {
    pub(crate) fn new(holders: usize, team: intent::TeamIntent) -> Self {
        let now = time::Instant::now();
        let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), now);
        ledger.set_teams(std::slice::from_ref(&team), now);
        let holders = (0..holders).map(|index| {
            let mut pool = pool(index, 1);
            pool.set_teams(std::slice::from_ref(&team), now);
            Holder {
                incarnation: 1,
                pool,
                replaced: None,
                running: Vec::new(),
            }
        });
        Self {
            now,
            passed: Vec::new(),
            holders: holders.collect(),
            team,
            term: 1,
            ledger,
            calls: Vec::new(),
            replies: Vec::new(),
        }
    }

    pub(crate) fn step(&mut self, step: &FleetStep) {
        match *step {
            FleetStep::Wait { millis } => self.now += time::Duration::from_millis(millis),
            FleetStep::Spend {
                holder,
                tokens,
                pause_millis,
            } => self.spend(holder, tokens, pause_millis),
            FleetStep::RoundTrip { holder, tokens } => self.round_trip(holder, tokens),
            FleetStep::SpendReplaced { holder, tokens } => self.spend_replaced(holder, tokens),
            FleetStep::Settle { holder, percent } => self.settle(holder, percent),
            FleetStep::Call { holder } => {
                let call = self.holders[holder].pool.call(self.now);
                self.calls.extend(call);
            }
            FleetStep::Answer => self.answer(),
            FleetStep::LoseCall => drop(self.calls.pop()),
            FleetStep::Deliver => self.deliver(),
            FleetStep::LoseReply => drop(self.replies.pop()),
            FleetStep::Restart { holder } => self.restart(holder),
            FleetStep::ChangeLeader => self.change_leader(),
            FleetStep::ChangeLimits { rate, burst } => self.change_limits(rate, burst),
        }
    }

    fn spend(&mut self, holder: usize, tokens: u64, pause_millis: u64) {
        let holder = &mut self.holders[holder];
        // A new request takes the place of one that waited, so that at most one waits at each holder.
        holder.pool.withdraw(&self.team.name, rate::ChargeTicket(0));
        let mut request = charge(&self.team.name, 0, tokens, self.now);
        request.rank = u32::try_from(tokens % 3).expect("the rank is small");
        request.is_returning = tokens.is_multiple_of(5);
        let outcome = holder.pool.charge(&request, self.now);
        self.now += time::Duration::from_millis(pause_millis);
        let rate::ChargeOutcome::Charged(mut receipt) = outcome else {
            return;
        };
        if !holder.pool.confirm_charge(&mut receipt, self.now) {
            return;
        }
        holder.running.push(RunningRequest {
            receipt,
            passed: self.passed.len(),
        });
        self.passed.push(PassedTokens {
            at: self.now,
            tokens,
        });
    }

    fn round_trip(&mut self, holder: usize, tokens: u64) {
        let before = self.passed.len();
        self.spend(holder, tokens, 0);
        if self.passed.len() > before {
            return;
        }
        self.step(&FleetStep::Call { holder });
        while !self.calls.is_empty() {
            self.answer();
        }
        while !self.replies.is_empty() {
            self.deliver();
        }
        self.spend(holder, tokens, 0);
    }

    fn spend_replaced(&mut self, holder: usize, tokens: u64) {
        let Some(pool) = &mut self.holders[holder].replaced else {
            return;
        };
        pool.withdraw(&self.team.name, rate::ChargeTicket(0));
        let request = charge(&self.team.name, 0, tokens, self.now);
        let outcome = pool.charge(&request, self.now);
        let rate::ChargeOutcome::Charged(mut receipt) = outcome else {
            return;
        };
        if pool.confirm_charge(&mut receipt, self.now) {
            let at = self.now;
            self.passed.push(PassedTokens { at, tokens });
        }
    }

    /// Settles the oldest request; tokens that it was charged and did not use count as not passed.
    fn settle(&mut self, holder: usize, percent: u64) {
        let holder = &mut self.holders[holder];
        if holder.running.is_empty() {
            return;
        }
        let running = holder.running.remove(0);
        let used = running.receipt.tokens().0 * percent / 100;
        self.passed[running.passed].tokens = used;
        holder
            .pool
            .settle(running.receipt, amount::TokenCount(used), self.now);
    }

    fn answer(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(0);
        let reply = self.ledger.grant(&call, self.now);
        let index = call.instance.as_str().trim_start_matches("entry-");
        self.replies.push(AddressedReply {
            holder: index.parse().expect("the name ends with the index"),
            incarnation: call.incarnation.0,
            reply,
        });
    }

    fn deliver(&mut self) {
        if self.replies.is_empty() {
            return;
        }
        let addressed = self.replies.remove(0);
        let holder = &mut self.holders[addressed.holder];
        if holder.incarnation == addressed.incarnation {
            holder.pool.accept(&addressed.reply, self.now);
        }
    }

    fn restart(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        holder.incarnation += 1;
        holder.running.clear();
        let successor = pool(index, holder.incarnation);
        let replaced = std::mem::replace(&mut holder.pool, successor);
        holder.replaced = Some(replaced);
        holder
            .pool
            .set_teams(std::slice::from_ref(&self.team), self.now);
    }

    fn change_leader(&mut self) {
        self.term += 1;
        let settings = rate::LedgerSettings::default();
        self.ledger = rate::GrantLedger::new(self.term, settings, self.now);
        self.ledger
            .set_teams(std::slice::from_ref(&self.team), self.now);
    }

    fn change_limits(&mut self, rate: u64, burst: u64) {
        self.team = team(rate, burst);
        let teams = std::slice::from_ref(&self.team);
        self.ledger.set_teams(teams, self.now);
        for holder in &mut self.holders {
            holder.pool.set_teams(teams, self.now);
        }
    }
}
