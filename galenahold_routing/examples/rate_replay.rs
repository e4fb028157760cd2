//! Replays requests of five teams against three methods of fleet-wide rate limiting.
//!
//! Prints the tokens passed beyond rate and burst, the refusals within the rate, the waits and the control
//! messages.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are only printed in a table"
)]

use std::cmp;
use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name};
use galenahold_routing::rate;
use rand::{RngExt, SeedableRng};

const RUN_SECONDS: f64 = 120.0;
/// When the leader fails, in seconds.
const LEADER_FAILS_AT: f64 = 60.0;
/// Time until the next leader takes over, in seconds.
const LEADER_GAP: f64 = 1.5;
/// Time after which a waiting request is refused, in seconds.
const DEADLINE: f64 = 5.0;
const TEAMS: usize = 5;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Debug, Clone, Copy)]
struct FleetSize {
    label: &'static str,
    instances: usize,
    one_way_delay_s: f64,
}

const FLEETS: [FleetSize; 2] = [
    FleetSize {
        label: "pamoja, 9 instances",
        instances: 9,
        one_way_delay_s: 0.0015,
    },
    FleetSize {
        label: "prydderch, 6 instances",
        instances: 6,
        one_way_delay_s: 0.0005,
    },
];

/// How the rate is enforced over the fleet: by granted tokens, by equal shares of each instance or at one
/// central bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Method {
    Leased,
    EqualShares,
    Central,
}

#[derive(Debug, Clone)]
struct Request {
    at: f64,
    team: usize,
    instance: usize,
    charged: u64,
    used: u64,
    duration_s: f64,
    within_rate: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    Finish(usize),
    Deadline(usize),
    /// The index of an instance for [`Method::Leased`], and of a queue otherwise.
    Poll(usize),
    /// The index of a request for [`Method::Central`], and of an instance otherwise.
    AtControl(usize),
    AtHolder(usize),
    LeaderFailed,
    LeaderElected,
}

#[derive(Debug, Clone, Copy)]
struct TimedEvent {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.order.cmp(&self.order))
    }
}

fn team(index: usize) -> intent::TeamIntent {
    let rates = [20_000, 10_000, 5_000, 2_000, 1_000];
    intent::TeamIntent {
        name: name::TeamName::from(format!("team-{index}")),
        rate_tokens_per_s: amount::TokensPerSecond(rates[index]),
        burst_tokens: amount::TokenCount(rates[index] * 4),
        weight: 1,
    }
}

/// Generates the requests. Team 0 sends four times its rate, the other teams 70 % of theirs. Nine in ten
/// requests of a team go to one instance, which changes every 20 s.
fn trace(fleet: FleetSize, seed: u64) -> Vec<Request> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for index in 0..TEAMS {
        let team = team(index);
        let load = if index == 0 { 4.0 } else { 0.7 };
        let mean_used = 260.0;
        let rate = team.rate_tokens_per_s.0 as f64 * load / mean_used;
        let mut at = 0.0;
        while at < RUN_SECONDS {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let busy_instance = ((at / 20.0) as usize * 7 + index * 3) % fleet.instances;
            let skewed = rng.random::<f64>() < 0.9;
            let other = rng.random_range(0..fleet.instances);
            let prompt = rng.random_range(20..300);
            let output = rng.random_range(20..180);
            requests.push(Request {
                at,
                team: index,
                instance: if skewed { busy_instance } else { other },
                charged: prompt + output * 2,
                used: prompt + output,
                duration_s: output as f64 * 0.02,
                within_rate: false,
            });
        }
    }
    requests.sort_by(|left, right| left.at.total_cmp(&right.at));
    mark_within_rate(&mut requests);
    requests
}

/// Marks the requests of teams within their rate that a single exact bucket would admit on arrival.
fn mark_within_rate(requests: &mut [Request]) {
    for index in 0..TEAMS {
        let team = team(index);
        let (rate, burst) = (team.rate_tokens_per_s.0 as f64, team.burst_tokens.0 as f64);
        let mut level = burst;
        let mut last = 0.0;
        for request in requests.iter_mut().filter(|request| request.team == index) {
            level = burst.min(level + (request.at - last) * rate);
            last = request.at;
            let fits = level >= request.charged as f64;
            request.within_rate = fits && index > 0;
            if fits {
                level -= request.used as f64;
            }
        }
    }
}

#[derive(Debug, Default)]
struct LocalBucket {
    rate: f64,
    burst: f64,
    level: f64,
    last: f64,
}

impl LocalBucket {
    fn take(&mut self, tokens: f64, now: f64) -> bool {
        self.level = self.burst.min(self.level + (now - self.last) * self.rate);
        self.last = now;
        let enough = self.level >= tokens;
        if enough {
            self.level -= tokens;
        }
        enough
    }
}

struct Replay {
    method: Method,
    fleet: FleetSize,
    requests: Vec<Request>,
    started: time::Instant,
    now: f64,
    events: collections::BinaryHeap<TimedEvent>,
    order: u64,
    ledger: Option<rate::GrantLedger>,
    term: u64,
    pools: Vec<rate::TokenPool>,
    next_poll_at: Vec<f64>,
    calls: collections::VecDeque<rate::GrantCall>,
    replies: Vec<Option<rate::GrantReply>>,
    buckets: Vec<LocalBucket>,
    waiting: Vec<collections::VecDeque<usize>>,
    receipts: collections::BTreeMap<usize, rate::ChargeReceipt>,
    passed: Vec<Vec<PassedTokens>>,
    decided: Vec<bool>,
    waits: Vec<f64>,
    refused_within_rate: u64,
    within_rate: u64,
    messages: u64,
}

#[derive(Debug, Clone, Copy)]
struct PassedTokens {
    at: f64,
    tokens: u64,
}

impl Replay {
    fn new(method: Method, fleet: FleetSize, horizon: u64, requests: Vec<Request>) -> Self {
        let started = time::Instant::now() + time::Duration::from_secs(100);
        let teams: Vec<_> = (0..TEAMS).map(team).collect();
        let earlier = started
            .checked_sub(time::Duration::from_mins(1))
            .unwrap_or(started);
        let mut ledger = rate::GrantLedger::new(1, rate::LedgerSettings::default(), earlier);
        ledger.set_teams(&teams, earlier);
        let pools = (0..fleet.instances).map(|index| {
            let mut pool = rate::TokenPool::new(
                name::InstanceName::from(format!("entry-{index}")),
                amount::IncarnationNumber(1),
                rate::PoolSettings::default()
                    .with_prefetch_horizon(time::Duration::from_millis(horizon)),
            );
            pool.set_teams(&teams, started);
            pool
        });
        let parts = if method == Method::EqualShares {
            fleet.instances as f64
        } else {
            1.0
        };
        let buckets = (0..fleet.instances).flat_map(|_| 0..TEAMS).map(|index| {
            let team = team(index);
            let burst = team.burst_tokens.0 as f64 / parts;
            LocalBucket {
                rate: team.rate_tokens_per_s.0 as f64 / parts,
                burst,
                level: burst,
                last: 0.0,
            }
        });
        let count = requests.len();
        Self {
            method,
            fleet,
            started,
            now: 0.0,
            events: collections::BinaryHeap::new(),
            order: 0,
            ledger: Some(ledger),
            term: 1,
            pools: pools.collect(),
            next_poll_at: vec![f64::MAX; fleet.instances],
            calls: collections::VecDeque::new(),
            replies: (0..fleet.instances).map(|_| None).collect(),
            buckets: buckets.collect(),
            waiting: vec![collections::VecDeque::new(); fleet.instances * TEAMS],
            receipts: collections::BTreeMap::new(),
            passed: vec![Vec::new(); TEAMS],
            decided: vec![false; count],
            waits: Vec::new(),
            refused_within_rate: 0,
            within_rate: 0,
            messages: 0,
            requests,
        }
    }

    fn at(&self, seconds: f64) -> time::Instant {
        self.started + time::Duration::from_secs_f64(seconds)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        let order = self.order;
        self.events.push(TimedEvent { at, order, event });
    }

    fn run(&mut self, changes_leader: bool) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, Event::Arrive(index));
        }
        if changes_leader {
            self.schedule(LEADER_FAILS_AT, Event::LeaderFailed);
            self.schedule(LEADER_FAILS_AT + LEADER_GAP, Event::LeaderElected);
        }
        while let Some(timed) = self.events.pop() {
            self.now = timed.at;
            match timed.event {
                Event::Arrive(index) => self.arrive(index),
                Event::Finish(index) => self.finish(index),
                Event::Deadline(index) => self.expire(index),
                Event::Poll(instance) => self.poll(instance),
                Event::AtControl(index) => self.at_control(index),
                Event::AtHolder(instance) => self.at_holder(instance),
                Event::LeaderFailed => self.ledger = None,
                Event::LeaderElected => self.new_leader(),
            }
        }
    }

    fn new_leader(&mut self) {
        self.term += 1;
        let now = self.at(self.now);
        let teams: Vec<_> = (0..TEAMS).map(team).collect();
        let settings = rate::LedgerSettings::default();
        let mut ledger = rate::GrantLedger::new(self.term, settings, now);
        ledger.set_teams(&teams, now);
        self.ledger = Some(ledger);
        if self.method == Method::Central {
            for bucket in &mut self.buckets {
                bucket.level = 0.0;
                bucket.last = self.now;
            }
        }
    }

    fn queue_index(&self, index: usize) -> usize {
        let request = &self.requests[index];
        let instance = if self.method == Method::Central {
            0
        } else {
            request.instance
        };
        instance * TEAMS + request.team
    }

    fn arrive(&mut self, index: usize) {
        self.within_rate += u64::from(self.requests[index].within_rate);
        self.schedule(self.now + DEADLINE, Event::Deadline(index));
        match self.method {
            Method::Central => {
                self.messages += 2;
                self.schedule(
                    self.now + self.fleet.one_way_delay_s,
                    Event::AtControl(index),
                );
            }
            Method::Leased | Method::EqualShares => {
                let queue_index = self.queue_index(index);
                self.waiting[queue_index].push_back(index);
                self.serve_queue(queue_index);
            }
        }
    }

    fn serve_queue(&mut self, queue_index: usize) {
        while let Some(index) = self.waiting[queue_index].front().copied() {
            if !self.decided[index] && !self.take(index, queue_index) {
                break;
            }
            self.waiting[queue_index].pop_front();
        }
        let Some(index) = self.waiting[queue_index].front().copied() else {
            return;
        };
        if self.method == Method::Leased {
            self.schedule_poll(self.requests[index].instance);
        } else {
            let bucket = &self.buckets[queue_index];
            let missing = self.requests[index].charged as f64 - bucket.level;
            let at = self.now + (missing / bucket.rate).max(1e-4);
            if at < self.requests[index].at + DEADLINE {
                self.schedule(at, Event::Poll(queue_index));
            }
        }
    }

    /// Decides a request if possible: passes it, or refuses it if it cannot pass in time.
    ///
    /// Returns false if the request has to wait.
    fn take(&mut self, index: usize, queue_index: usize) -> bool {
        let request = self.requests[index].clone();
        if self.method != Method::Leased {
            if !self.buckets[queue_index].take(request.charged as f64, self.now) {
                return false;
            }
            self.pass(index);
            return true;
        }
        let now = self.at(self.now);
        let team = team(request.team);
        let pool = &mut self.pools[request.instance];
        let charge = rate::ChargeRequest {
            team: team.name.clone(),
            tokens: amount::TokenCount(request.charged),
            ticket: rate::ChargeTicket(index as u64),
            rank: 0,
            is_returning: false,
            waits_until: self.started + time::Duration::from_secs_f64(request.at + DEADLINE),
        };
        match pool.charge(&charge, now) {
            rate::ChargeOutcome::Charged(mut receipt) => {
                assert!(pool.confirm_charge(&mut receipt, now));
                self.receipts.insert(index, receipt);
                self.pass(index);
                true
            }
            rate::ChargeOutcome::MissingTokens { retry_after, .. } => {
                let left = request.at + DEADLINE - self.now;
                let too_late = retry_after.is_some_and(|after| after.as_secs_f64() > left);
                if too_late {
                    pool.withdraw(&charge.team, charge.ticket);
                    self.refuse(index);
                }
                too_late
            }
            _ => {
                self.refuse(index);
                true
            }
        }
    }

    fn pass(&mut self, index: usize) {
        self.decided[index] = true;
        let request = self.requests[index].clone();
        if request.within_rate {
            self.waits.push(self.now - request.at);
        }
        self.passed[request.team].push(PassedTokens {
            at: self.now,
            tokens: request.used,
        });
        self.schedule(self.now + request.duration_s, Event::Finish(index));
    }

    fn refuse(&mut self, index: usize) {
        self.decided[index] = true;
        self.refused_within_rate += u64::from(self.requests[index].within_rate);
    }

    fn finish(&mut self, index: usize) {
        let request = self.requests[index].clone();
        if let Some(receipt) = self.receipts.remove(&index) {
            let now = self.at(self.now);
            let used = amount::TokenCount(request.used);
            self.pools[request.instance].settle(receipt, used, now);
            self.schedule_poll(request.instance);
            return;
        }
        let queue_index = self.queue_index(index);
        let bucket = &mut self.buckets[queue_index];
        let refund = (request.charged - request.used) as f64;
        bucket.level = bucket.burst.min(bucket.level + refund);
    }

    fn expire(&mut self, index: usize) {
        if !self.decided[index] {
            self.refuse(index);
            let request = &self.requests[index];
            let ticket = rate::ChargeTicket(index as u64);
            self.pools[request.instance].withdraw(&team(request.team).name, ticket);
            let queue_index = self.queue_index(index);
            self.serve_queue(queue_index);
        }
    }

    fn schedule_poll(&mut self, instance: usize) {
        let now = self.at(self.now);
        let Some(due) = self.pools[instance].call_at(now) else {
            return;
        };
        let at = due
            .saturating_duration_since(self.started)
            .as_secs_f64()
            .max(self.now);
        if at < self.next_poll_at[instance] {
            self.next_poll_at[instance] = at;
            self.schedule(at + 1e-6, Event::Poll(instance));
        }
    }

    fn poll(&mut self, index: usize) {
        if self.method == Method::EqualShares {
            self.serve_queue(index);
            return;
        }
        if self.method == Method::Central {
            self.serve_queue(index);
            return;
        }
        self.next_poll_at[index] = f64::MAX;
        let now = self.at(self.now);
        if let Some(call) = self.pools[index].call(now) {
            self.messages += 1;
            self.calls.push_back(call);
            self.schedule(
                self.now + self.fleet.one_way_delay_s,
                Event::AtControl(index),
            );
        }
        self.schedule_poll(index);
    }

    fn at_control(&mut self, index: usize) {
        if self.method == Method::Central {
            if self.ledger.is_some() {
                self.waiting[self.requests[index].team].push_back(index);
                self.serve_queue(self.requests[index].team);
            } else if self.requests[index].at + DEADLINE > self.now {
                self.schedule(self.now + 0.05, Event::AtControl(index));
            }
            return;
        }
        let now = self.at(self.now);
        let Some(call) = self.calls.pop_front() else {
            return;
        };
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        self.replies[index] = Some(ledger.grant(&call, now));
        self.messages += 1;
        self.schedule(
            self.now + self.fleet.one_way_delay_s,
            Event::AtHolder(index),
        );
    }

    fn at_holder(&mut self, instance: usize) {
        let now = self.at(self.now);
        if let Some(reply) = self.replies[instance].take() {
            self.pools[instance].accept(&reply, now);
        }
        for team in 0..TEAMS {
            self.serve_queue(instance * TEAMS + team);
        }
        self.schedule_poll(instance);
    }

    /// Returns the maximum of tokens beyond rate and burst in any window, as a share of the burst.
    fn excess(&self) -> f64 {
        (0..TEAMS)
            .map(|index| self.excess_of(index))
            .fold(0.0, f64::max)
    }

    /// Returns the maximum excess of a team over all windows, in one pass over its requests.
    fn excess_of(&self, index: usize) -> f64 {
        let team = team(index);
        let (rate, burst) = (team.rate_tokens_per_s.0 as f64, team.burst_tokens.0 as f64);
        let mut debt: f64 = 0.0;
        let mut last = 0.0;
        let mut max_excess: f64 = 0.0;
        for passed in &self.passed[index] {
            debt = (debt - (passed.at - last) * rate).max(0.0) + passed.tokens as f64;
            last = passed.at;
            max_excess = max_excess.max(debt - burst);
        }
        max_excess / burst
    }

    /// Returns the tokens of the team that exceeds its rate, as a share of its entitlement.
    fn over_rate_share(&self) -> f64 {
        let team = team(0);
        let entitled = team.burst_tokens.0 as f64 + team.rate_tokens_per_s.0 as f64 * RUN_SECONDS;
        let got: u64 = self.passed[0].iter().map(|passed| passed.tokens).sum();
        got as f64 / entitled
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * share) as usize;
    values.get(index).copied().unwrap_or(0.0)
}

/// The figures of one method over all seeds.
#[derive(Debug, Default)]
struct ReplayFigures {
    excess: f64,
    refused: u64,
    within_rate: u64,
    waits: Vec<f64>,
    over_rate_share: f64,
    messages: f64,
}

fn replay(method: Method, fleet: FleetSize, horizon: u64, changes_leader: bool) -> ReplayFigures {
    let mut figures = ReplayFigures::default();
    for seed in SEEDS {
        let requests = trace(fleet, seed);
        let mut replay = Replay::new(method, fleet, horizon, requests);
        replay.run(changes_leader);
        figures.excess = figures.excess.max(replay.excess());
        figures.refused += replay.refused_within_rate;
        figures.within_rate += replay.within_rate;
        figures.waits.append(&mut replay.waits);
        figures.over_rate_share += replay.over_rate_share() / SEEDS.len() as f64;
        figures.messages += replay.messages as f64 / RUN_SECONDS / SEEDS.len() as f64;
    }
    figures
}

fn main() {
    println!(
        "| fleet | leader | way | beyond rate and burst | refused inside rate | wait p50 / p99 / p99.9 ms | greedy team got | messages/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let methods = [
        (Method::Leased, 300),
        (Method::Leased, 1_000),
        (Method::EqualShares, 0),
        (Method::Central, 0),
    ];
    for fleet in FLEETS {
        for changes_leader in [false, true] {
            for (method, horizon) in methods {
                let mut figures = replay(method, fleet, horizon, changes_leader);
                println!(
                    "| {} | {} | {method:?} {horizon} | {:.1} % | {} of {} | {:.1} / {:.1} / {:.1} | {:.1} % | {:.0} |",
                    fleet.label,
                    if changes_leader { "changes" } else { "stays" },
                    figures.excess * 100.0,
                    figures.refused,
                    figures.within_rate,
                    percentile(&mut figures.waits, 0.5) * 1_000.0,
                    percentile(&mut figures.waits, 0.99) * 1_000.0,
                    percentile(&mut figures.waits, 0.999) * 1_000.0,
                    figures.over_rate_share * 100.0,
                    figures.messages,
                );
            }
        }
    }
}
