//! A replay of callers at many instances that share one leader, with the waiting rules of an entry instance.

use std::time;

use galenahold_domain::{amount, intent, name};
use galenahold_routing::rate;
use rand::{RngExt, SeedableRng, rngs};

const STEP: time::Duration = time::Duration::from_millis(2);

/// The time of a message between an instance and the leader.
const MESSAGE_DELAY: time::Duration = time::Duration::from_millis(6);

/// How long a request waits for tokens while the leader reports that they are used up.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long a request waits for tokens while the leader does not answer.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// A caller of a team.
#[derive(Debug, Clone)]
pub(crate) struct ReplayCaller {
    pub(crate) team: usize,
    pub(crate) rank: u32,
    pub(crate) tokens: u64,
    /// When the caller sends its first request, counted from the start of the replay.
    pub(crate) at: time::Duration,
    /// How long the caller waits for its answer.
    pub(crate) patience: time::Duration,
    /// Whether the caller retries once after a refusal.
    pub(crate) retries: bool,
}

/// What became of a caller.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplayResult {
    pub(crate) served: bool,
    pub(crate) refusals: u32,
    /// The total wait for tokens.
    pub(crate) waited: time::Duration,
}

#[derive(Debug)]
struct Request {
    caller: usize,
    instance: usize,
    ticket: rate::ChargeTicket,
    is_returning: bool,
    arrived: time::Instant,
    answers_before: u64,
}

#[derive(Debug)]
struct Instance {
    pool: rate::TokenPool,
    waiting: Vec<Request>,
    answers: u64,
    reply: Option<(time::Instant, rate::GrantReply)>,
}

/// Which processes of a replay run a version that does not state single waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OlderVersions {
    None,
    Leader,
    EvenInstances,
}

/// The state of a replay.
pub(crate) struct TeamReplay {
    teams: Vec<intent::TeamIntent>,
    callers: Vec<ReplayCaller>,
    pub(crate) results: Vec<ReplayResult>,
    /// The tokens of each team that passed, with the time.
    pub(crate) passed: Vec<Vec<(time::Duration, u64)>>,
    instances: Vec<Instance>,
    calls: Vec<(time::Instant, usize, rate::GrantCall)>,
    ledger: rate::GrantLedger,
    began: time::Instant,
    rng: rngs::StdRng,
    /// Whether an instance's calls, or the leader's replies, lack what versions without ranks don't state.
    pub(crate) older: OlderVersions,
    /// The number of calls for tokens and the bytes of these calls and their replies.
    pub(crate) messages: u64,
}

impl TeamReplay {
    pub(crate) fn new(
        instances: usize,
        teams: Vec<intent::TeamIntent>,
        callers: Vec<ReplayCaller>,
        seed: u64,
    ) -> Self {
        let began = time::Instant::now();
        let settings = rate::LedgerSettings::default()
            .with_grant_expiry(time::Duration::from_millis(2_500))
            .with_immediate_refill();
        let mut ledger = rate::GrantLedger::new(1, settings, began);
        ledger.set_teams(&teams, began);
        // The buckets are full when the first caller arrives.
        let began = began + time::Duration::from_mins(1);
        let instances = (0..instances).map(|number| {
            let settings = rate::PoolSettings::default()
                .with_call_interval(time::Duration::from_millis(300))
                .with_prefetch_horizon(time::Duration::from_millis(450));
            let instance = name::InstanceName::from(format!("entry-{number}"));
            let mut pool = rate::TokenPool::new(instance, amount::IncarnationNumber(1), settings);
            pool.set_teams(&teams, began);
            Instance {
                pool,
                waiting: Vec::new(),
                answers: 0,
                reply: None,
            }
        });
        Self {
            instances: instances.collect(),
            results: vec![ReplayResult::default(); callers.len()],
            passed: vec![Vec::new(); teams.len()],
            teams,
            callers,
            calls: Vec::new(),
            ledger,
            began,
            rng: rngs::StdRng::seed_from_u64(seed),
            older: OlderVersions::None,
            messages: 0,
        }
    }

    /// Runs the replay until no caller can be waiting any more.
    pub(crate) fn run(mut self) -> Self {
        let last = self.callers.iter().map(|caller| caller.at).max();
        let end = self.began + last.unwrap_or_default() + time::Duration::from_secs(8);
        let mut order: Vec<_> = (0..self.callers.len()).collect();
        order.sort_by_key(|index| self.callers[*index].at);
        let mut arrivals: Vec<_> = order
            .into_iter()
            .map(|caller| (self.began + self.callers[caller].at, caller))
            .collect();
        let mut now = self.began;
        while now < end {
            arrivals.sort();
            let due = arrivals.partition_point(|(at, _)| *at <= now);
            let arrived: Vec<_> = arrivals.drain(..due).collect();
            for (_, caller) in arrived {
                let instance = self.rng.random_range(0..self.instances.len());
                let request = Request {
                    caller,
                    instance,
                    ticket: self.instances[instance].pool.issue_ticket(),
                    is_returning: self.results[caller].refusals > 0,
                    arrived: now,
                    answers_before: self.instances[instance].answers,
                };
                arrivals.extend(self.attempt(request, now));
            }
            self.answer_calls(now);
            for instance in 0..self.instances.len() {
                arrivals.extend(self.step_instance(instance, now));
            }
            now += STEP;
        }
        self
    }

    /// Charges a request; returns when its caller comes again if it was refused for the first time.
    fn attempt(&mut self, request: Request, now: time::Instant) -> Option<(time::Instant, usize)> {
        let caller = self.callers[request.caller].clone();
        let team = &self.teams[caller.team].name;
        let instance = &mut self.instances[request.instance];
        let tokens = amount::TokenCount(caller.tokens);
        let charge = rate::ChargeRequest {
            team: team.clone(),
            tokens,
            ticket: request.ticket,
            rank: caller.rank,
            is_returning: request.is_returning,
            waits_until: request.arrived + TOKEN_TIMEOUT,
        };
        let (retry_after, recovering) = match instance.pool.charge(&charge, now) {
            rate::ChargeOutcome::Charged(mut receipt) => {
                assert!(instance.pool.confirm_charge(&mut receipt, now));
                instance.pool.settle(receipt, tokens, now);
                let result = &mut self.results[request.caller];
                result.served = true;
                result.waited += now - request.arrived;
                self.passed[caller.team].push((now - self.began, caller.tokens));
                return None;
            }
            rate::ChargeOutcome::MissingTokens {
                retry_after,
                recovering,
                ..
            } => (retry_after, recovering),
            outcome => panic!("unexpected outcome {outcome:?}"),
        };
        let answered = instance.answers > request.answers_before;
        let limit = if answered && !recovering {
            TOKEN_TIMEOUT
        } else {
            LEADER_TIMEOUT
        };
        let left = (request.arrived + limit).saturating_duration_since(now);
        let hopeless = answered && retry_after.is_some_and(|wait| wait > left);
        if !hopeless && !left.is_zero() {
            instance.waiting.push(request);
            return None;
        }
        instance.pool.withdraw(team, request.ticket);
        let result = &mut self.results[request.caller];
        result.refusals += 1;
        result.waited += now - request.arrived;
        let passed = now - (self.began + caller.at);
        let remaining = caller.patience.saturating_sub(passed);
        let told = retry_after.unwrap_or(time::Duration::from_secs(1));
        (caller.retries && result.refusals == 1)
            .then(|| (now + told.min(remaining / 3), request.caller))
    }

    fn answer_calls(&mut self, now: time::Instant) {
        let calls = std::mem::take(&mut self.calls);
        for (at, instance, mut call) in calls {
            if at > now {
                self.calls.push((at, instance, call));
                continue;
            }
            let is_older = match self.older {
                OlderVersions::None => false,
                OlderVersions::Leader => true,
                OlderVersions::EvenInstances => instance % 2 == 0,
            };
            if is_older {
                for request in &mut call.teams {
                    request.waiting.clear();
                }
            }
            let mut reply = self.ledger.grant(&call, now);
            if is_older {
                for grant in &mut reply.grants {
                    grant.waits_ms.clear();
                }
            }
            self.instances[instance].reply = Some((now + MESSAGE_DELAY, reply));
        }
    }

    fn step_instance(&mut self, index: usize, now: time::Instant) -> Vec<(time::Instant, usize)> {
        let instance = &mut self.instances[index];
        let mut woken = Vec::new();
        if let Some((_, reply)) = instance.reply.take_if(|(at, _)| *at <= now) {
            assert!(instance.pool.accept(&reply, now));
            instance.answers += 1;
            woken = std::mem::take(&mut instance.waiting);
        } else {
            let answers = instance.answers;
            woken.extend(instance.waiting.extract_if(.., |request| {
                let answered = answers > request.answers_before;
                let limit = if answered {
                    TOKEN_TIMEOUT
                } else {
                    LEADER_TIMEOUT
                };
                now >= request.arrived + limit
            }));
        }
        let again = woken
            .into_iter()
            .filter_map(|request| self.attempt(request, now))
            .collect();
        let instance = &mut self.instances[index];
        if let Some(call) = instance.pool.call(now) {
            self.messages += 1;
            self.calls.push((now + MESSAGE_DELAY, index, call));
        }
        again
    }
}

/// Returns callers whose arrivals are a Poisson process of this rate.
pub(crate) fn poisson_callers(
    template: &ReplayCaller,
    tokens: std::ops::Range<u64>,
    per_s: f64,
    duration: time::Duration,
    seed: u64,
) -> Vec<ReplayCaller> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut at = template.at;
    let end = template.at + duration;
    let mut callers = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += time::Duration::from_secs_f64(-uniform.ln() / per_s);
        if at >= end {
            return callers;
        }
        callers.push(ReplayCaller {
            at,
            tokens: rng.random_range(tokens.clone()),
            ..template.clone()
        });
    }
}
