//! Replays simulated requests of many instances against the balancing policies, with delayed load reports.
//!
//! Prints the time to the first token and the share of prompt blocks found in prefix caches.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are only printed in a table"
)]

use std::cmp;
use std::collections;
use std::fmt::Write;
use std::time;

use galenahold_domain::{amount, name, placement, server};
use galenahold_routing::replica;
use galenahold_routing::replica::ReplicaChoice;
use rand::{RngExt, SeedableRng};

const RUN_SECONDS: f64 = 120.0;
const SEEDS: [u64; 3] = [1, 2, 3];
const MODEL: &str = "alama-llm";
const REPORT_INTERVAL: f64 = 1.0;
const REPORT_LAG: f64 = 0.5;
const EVENT_LAG: f64 = 0.3;
const EVENT_LOSS: f64 = 0.02;
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
const DECODE_TOKENS_PER_S: f64 = 1_200.0;
const CACHE_BLOCKS: usize = 1_500;
const PROMPTS: usize = 60;
const PROMPT_BLOCKS: usize = 60;
const BLOCK_TOKENS: usize = 16;
const UTILISATION: f64 = 0.75;

#[derive(Debug, Clone, Copy)]
struct FleetSize {
    label: &'static str,
    instances: usize,
    replicas: usize,
}

const FLEETS: [FleetSize; 2] = [
    FleetSize {
        label: "pamoja, 9 instances, 10 replicas",
        instances: 9,
        replicas: 10,
    },
    FleetSize {
        label: "prydderch, 6 instances, 12 replicas",
        instances: 6,
        replicas: 12,
    },
];

#[derive(Debug, Clone)]
struct Request {
    at: f64,
    instance: usize,
    /// The prompt that many requests share; absent if the request has its own.
    prompt: Option<usize>,
    own_blocks: usize,
    output: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(usize),
    Done(usize),
    Report,
    Deliver,
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

/// A replica that runs its requests one after another, with a prefix cache of limited size.
#[derive(Debug, Default)]
struct SimulatedReplica {
    free_at: f64,
    outstanding: u64,
    requests: u32,
    slowness: f64,
    cache: collections::BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
}

/// An instance with its view of the fleet.
struct SimulatedInstance<C> {
    table: replica::ReplicaTable,
    choice: C,
}

trait FollowsCache {
    fn follow_event(&mut self, _key: replica::ServerKey, _event: &server::CacheEvent) {}
}

impl FollowsCache for replica::RoundRobin {}
impl FollowsCache for replica::LeastOutstanding {}
impl FollowsCache for replica::TwoChoices {}
impl FollowsCache for replica::BoundedRotation {}
impl FollowsCache for replica::PrefixAffinity {
    fn follow_event(&mut self, key: replica::ServerKey, event: &server::CacheEvent) {
        self.apply_cache_event(key, event);
    }
}

struct Replay<C> {
    started: time::Instant,
    now: f64,
    events: collections::BinaryHeap<TimedEvent>,
    order: u64,
    instances: Vec<SimulatedInstance<C>>,
    replicas: Vec<SimulatedReplica>,
    reports: collections::VecDeque<Vec<server::ServerAnnouncement>>,
    cache_events: collections::VecDeque<(f64, server::CacheEvent)>,
    sent: Vec<Option<SentRequest>>,
    requests: Vec<Request>,
    first_token: Vec<f64>,
    hit_blocks: u64,
    blocks: u64,
    rng: rand::rngs::StdRng,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    key: replica::ReplicaKey,
    replica: usize,
    tokens: u64,
}

fn trace(fleet: FleetSize, shared: f64, seed: u64) -> Vec<Request> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mean_seconds = (PROMPT_BLOCKS * BLOCK_TOKENS) as f64 / PREFILL_TOKENS_PER_S
        * (1.0 - shared * 0.6)
        + 200.0 / DECODE_TOKENS_PER_S;
    let rate = fleet.replicas as f64 * UTILISATION / mean_seconds;
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < RUN_SECONDS {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let popular = (rng.random::<f64>().powi(2) * PROMPTS as f64) as usize;
        let is_shared = rng.random::<f64>() < shared;
        let long: f64 = rng.random();
        requests.push(Request {
            at,
            instance: rng.random_range(0..fleet.instances),
            prompt: is_shared.then_some(popular.min(PROMPTS - 1)),
            own_blocks: if is_shared {
                4
            } else {
                rng.random_range(10..110)
            },
            output: 20 + (long * long * 540.0) as u64,
        });
    }
    requests
}

fn prompt_text(request: &Request, index: usize) -> String {
    let mut text = String::new();
    if let Some(prompt) = request.prompt {
        for block in 0..PROMPT_BLOCKS - 4 {
            write!(text, "{prompt:>32}{block:>32}").expect("writing to a string cannot fail");
        }
    }
    for block in 0..request.own_blocks {
        write!(text, "own {index:>28}{block:>32}").expect("writing to a string cannot fail");
    }
    text
}

impl<C: ReplicaChoice + FollowsCache> Replay<C> {
    fn new(case: ReplayCase, requests: Vec<Request>, choice: impl Fn() -> C) -> Self {
        let fleet = case.fleet;
        let started = time::Instant::now();
        let count = requests.len();
        let mut replay = Self {
            started,
            now: 0.0,
            events: collections::BinaryHeap::new(),
            order: 0,
            instances: (0..fleet.instances)
                .map(|_| SimulatedInstance {
                    table: replica::ReplicaTable::new(
                        replica::TableSettings::default()
                            .with_report_decay_time(time::Duration::from_millis(case.memory_ms)),
                    ),
                    choice: choice(),
                })
                .collect(),
            replicas: (0..fleet.replicas)
                .map(|index| SimulatedReplica {
                    slowness: if case.has_slow_replica && index == 0 {
                        2.5
                    } else {
                        1.0
                    },
                    ..SimulatedReplica::default()
                })
                .collect(),
            reports: collections::VecDeque::new(),
            cache_events: collections::VecDeque::new(),
            sent: vec![None; count],
            requests,
            first_token: Vec::new(),
            hit_blocks: 0,
            blocks: 0,
            rng: rand::rngs::StdRng::seed_from_u64(99),
        };
        let first = replay.announce();
        replay.deliver(&first);
        replay
    }

    fn at(&self) -> time::Instant {
        self.started + time::Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        let order = self.order;
        self.events.push(TimedEvent { at, order, event });
    }

    fn run(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, Event::Arrive(index));
        }
        self.schedule(REPORT_INTERVAL, Event::Report);
        while let Some(timed) = self.events.pop() {
            self.now = timed.at;
            match timed.event {
                Event::Arrive(index) => self.arrive(index),
                Event::Done(index) => self.done(index),
                Event::Report => self.report(),
                Event::Deliver => {
                    if let Some(reports) = self.reports.pop_front() {
                        self.deliver(&reports);
                    }
                }
            }
        }
    }

    fn announce(&mut self) -> Vec<server::ServerAnnouncement> {
        let mut announcements = Vec::new();
        for (index, replica_state) in self.replicas.iter_mut().enumerate() {
            replica_state.sequence += 1;
            announcements.push(server::ServerAnnouncement {
                name: name::ServerName::from(format!("server-{index}")),
                incarnation: amount::IncarnationNumber(1),
                sequence: replica_state.sequence,
                address: "127.0.0.1:9".parse().expect("the address is valid"),
                data_centre: name::DataCentreName::from("a"),
                kind: server::ServerKind::Engine,
                checks_fencing: true,
                memory_bytes: amount::ByteCount(1),
                loaded: vec![server::LoadedReplica {
                    model: name::ModelName::from(MODEL),
                    version: name::VersionName::from("1"),
                    adapter: None,
                    bytes: amount::ByteCount(1),
                    order: 1,
                    state: server::ReplicaState::Ready,
                }],
                cached: Vec::new(),
                load: server::ServerLoad {
                    running: replica_state.requests,
                    queued: 0,
                    outstanding_tokens: amount::TokenCount(replica_state.outstanding),
                },
                leaving: false,
                service: None,
            });
        }
        announcements
    }

    fn report(&mut self) {
        let announcements = self.announce();
        self.reports.push_back(announcements);
        self.schedule(self.now + REPORT_LAG, Event::Deliver);
        if self.now < RUN_SECONDS {
            self.schedule(self.now + REPORT_INTERVAL, Event::Report);
        }
    }

    fn deliver(&mut self, announcements: &[server::ServerAnnouncement]) {
        let now = self.at();
        let age = time::Duration::from_secs_f64(REPORT_LAG.min(self.now));
        for instance in &mut self.instances {
            for announcement in announcements {
                instance.table.announce(announcement, age, now);
            }
        }
    }

    fn deliver_cache_events(&mut self) {
        while self
            .cache_events
            .front()
            .is_some_and(|(at, _)| at + EVENT_LAG <= self.now)
        {
            let Some((_, event)) = self.cache_events.pop_front() else {
                return;
            };
            for instance in &mut self.instances {
                let key = instance.table.server_key(&event.name);
                if let Some(key) = key.filter(|_| self.rng.random::<f64>() >= EVENT_LOSS) {
                    instance.choice.follow_event(key, &event);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        self.deliver_cache_events();
        let now = self.at();
        let request = self.requests[index].clone();
        let text = prompt_text(&request, index);
        let prefix = replica::PrefixBlocks::of_text(&text, 128);
        let tokens = (prefix.hashes().len() * BLOCK_TOKENS) as u64 + request.output;
        let model = name::ModelName::from(MODEL);
        let choice_request = replica::ChoiceRequest {
            model: Some(&model),
            tokens: amount::TokenCount(tokens),
            prefix: &prefix,
        };
        let target = replica::ReplicaTarget::Artifact(placement::ReplicaArtifact {
            model: model.clone(),
            version: name::VersionName::from("1"),
            adapter: None,
        });
        let instance = &mut self.instances[request.instance];
        let mut candidates = Vec::new();
        instance.table.candidates(&target, now, &mut candidates);
        let key = instance
            .choice
            .choose(&candidates, &choice_request, &mut self.rng)
            .expect("all replicas are announced");
        instance.table.begin(key, amount::TokenCount(tokens));
        let server = instance
            .table
            .replica(key)
            .expect("the replica was chosen from the table")
            .server();
        let name = instance
            .table
            .server(server)
            .expect("the server is in the table")
            .name();
        let replica: usize = name
            .trim_start_matches("server-")
            .parse()
            .expect("the server name ends with its index");
        self.sent[index] = Some(SentRequest {
            key,
            replica,
            tokens,
        });
        self.run_request(index, replica, prefix.hashes(), tokens);
    }

    fn run_request(&mut self, index: usize, replica: usize, hashes: &[u64], tokens: u64) {
        let output = self.requests[index].output;
        let replica_state = &mut self.replicas[replica];
        let hits = hashes
            .iter()
            .take_while(|hash| replica_state.cache.contains_key(hash))
            .count();
        self.hit_blocks += hits as u64;
        self.blocks += hashes.len() as u64;
        let prefill = ((hashes.len() - hits) * BLOCK_TOKENS) as f64 / PREFILL_TOKENS_PER_S;
        let start = replica_state.free_at.max(self.now);
        let done = start + (prefill + output as f64 / DECODE_TOKENS_PER_S) * replica_state.slowness;
        replica_state.free_at = done;
        replica_state.outstanding += tokens;
        replica_state.requests += 1;
        self.first_token
            .push(start + prefill - self.requests[index].at);
        let event = self.store(replica, hashes);
        self.cache_events.push_back((self.now, event));
        self.schedule(done, Event::Done(index));
    }

    fn store(&mut self, replica: usize, hashes: &[u64]) -> server::CacheEvent {
        let replica_state = &mut self.replicas[replica];
        replica_state.uses += 1;
        let uses = replica_state.uses;
        let new = hashes
            .iter()
            .filter(|hash| !replica_state.cache.contains_key(hash));
        let stored: Vec<u64> = new.copied().collect();
        replica_state
            .cache
            .extend(hashes.iter().map(|hash| (*hash, uses)));
        let mut removed = Vec::new();
        if replica_state.cache.len() > CACHE_BLOCKS {
            let mut by_use: Vec<_> = replica_state
                .cache
                .iter()
                .map(|(hash, used)| (*used, *hash))
                .collect();
            by_use.sort_unstable();
            let surplus = replica_state.cache.len() - CACHE_BLOCKS;
            removed.extend(by_use.iter().take(surplus).map(|(_, hash)| *hash));
        }
        for hash in &removed {
            replica_state.cache.remove(hash);
        }
        server::CacheEvent {
            name: name::ServerName::from(format!("server-{replica}")),
            incarnation: amount::IncarnationNumber(1),
            sequence: uses,
            model: name::ModelName::from(MODEL),
            stored,
            removed,
            cleared: false,
        }
    }

    fn done(&mut self, index: usize) {
        let Some(sent) = self.sent[index] else {
            return;
        };
        let replica_state = &mut self.replicas[sent.replica];
        replica_state.outstanding -= sent.tokens;
        replica_state.requests -= 1;
        let instance = &mut self.instances[self.requests[index].instance];
        instance
            .table
            .finish(sent.key, amount::TokenCount(sent.tokens));
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * share) as usize;
    values.get(index).copied().unwrap_or(0.0)
}

/// The conditions under which a policy is replayed.
#[derive(Debug, Clone, Copy)]
struct ReplayCase {
    fleet: FleetSize,
    shared: f64,
    has_slow_replica: bool,
    memory_ms: u64,
}

fn replay<C: ReplicaChoice + FollowsCache>(label: &str, case: ReplayCase, choice: impl Fn() -> C) {
    let mut first_token = Vec::new();
    let (mut hits, mut blocks) = (0, 0);
    for seed in SEEDS {
        let requests = trace(case.fleet, case.shared, seed);
        let mut replay = Replay::new(case, requests, &choice);
        replay.run();
        first_token.append(&mut replay.first_token);
        hits += replay.hit_blocks;
        blocks += replay.blocks;
    }
    println!(
        "| {} | {:.0} % | {} | {label} | {} | {:.0} / {:.0} / {:.0} | {:.0} % |",
        case.fleet.label,
        case.shared * 100.0,
        if case.has_slow_replica {
            "one slow"
        } else {
            "equal"
        },
        case.memory_ms,
        percentile(&mut first_token, 0.5) * 1_000.0,
        percentile(&mut first_token, 0.95) * 1_000.0,
        percentile(&mut first_token, 0.99) * 1_000.0,
        hits as f64 / blocks as f64 * 100.0,
    );
}

fn main() {
    println!(
        "| fleet | shared prompts | replicas | choice | report memory ms | first token p50 / p95 / p99 ms | blocks cached |"
    );
    println!("|---|---|---|---|---|---|---|");
    for fleet in FLEETS {
        for (shared, has_slow_replica) in [(0.0, false), (0.0, true), (0.7, false), (0.7, true)] {
            let case = ReplayCase {
                fleet,
                shared,
                has_slow_replica,
                memory_ms: 2_000,
            };
            replay("round robin", case, replica::RoundRobin::default);
            replay("prefix hash, unbounded", case, || {
                replica::PrefixAffinity::new(100_000, 1e12)
            });
            for memory_ms in [500, 2_000] {
                let case = ReplayCase { memory_ms, ..case };
                replay("least outstanding", case, || replica::LeastOutstanding);
                replay("two choices", case, || replica::TwoChoices);
                replay("bounded rotation", case, replica::BoundedRotation::default);
                replay("prefix affinity, 125 % + 2048", case, || {
                    replica::PrefixAffinity::new(125, 2_048.0)
                });
                replay("prefix affinity, 110 % + 512", case, || {
                    replica::PrefixAffinity::new(110, 512.0)
                });
                replay("the same, unknown by rotation", case, || {
                    replica::PrefixAffinity::new(110, 512.0).with_rotation_for_unknown_prompts()
                });
            }
        }
    }
}
