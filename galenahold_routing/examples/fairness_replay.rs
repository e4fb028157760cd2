//! Replays a team at ten times its share against first-come and fair queues.
//!
//! Prints the worst p99 wait of the other teams, and Jain's index over the tokens that the teams were served.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are only printed in a table"
)]

use std::cmp;
use std::collections;
use std::time;

use galenahold_domain::{amount, name};
use galenahold_routing::{queue, rate};
use rand::{RngExt, SeedableRng};

const RUN_SECONDS: f64 = 120.0;
const TEAMS: usize = 5;
const SEEDS: [u64; 3] = [1, 2, 3];
const TOKENS_PER_S: f64 = 400.0;
const CORRECTION_INTERVAL: f64 = 0.2;
const DEADLINE: time::Duration = time::Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct FleetSize {
    label: &'static str,
    instances: usize,
    slots: usize,
}

const FLEETS: [FleetSize; 2] = [
    FleetSize {
        label: "pamoja, 9 instances, 10 replicas",
        instances: 9,
        slots: 18,
    },
    FleetSize {
        label: "prydderch, 6 instances, 12 replicas",
        instances: 6,
        slots: 20,
    },
];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    FirstCome,
    Fair,
    FairCorrected,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    at: f64,
    team: usize,
    instance: usize,
    tokens: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(usize),
    Free(usize),
    Correct,
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

fn name_of(team: usize) -> name::TeamName {
    name::TeamName::from(format!("team-{team}"))
}

/// Generates the requests. Team 0 sends ten times a fifth of the capacity to all instances. Teams 1 to 3 send
/// three quarters of a fifth to all instances. Team 4 sends a third of that, to one instance only.
fn trace(fleet: FleetSize, seed: u64) -> Vec<Request> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let capacity = fleet.slots as f64 * TOKENS_PER_S;
    let mut requests = Vec::new();
    for team in 0..TEAMS {
        let load = if team == 0 { 10.0 } else { 0.75 };
        let load = if team == 4 { load / 3.0 } else { load };
        let rate = capacity / TEAMS as f64 * load / 300.0;
        let mut at = 0.0;
        while at < RUN_SECONDS {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let instance = rng.random_range(0..fleet.instances);
            requests.push(Request {
                at,
                team,
                instance: if team == 4 { 0 } else { instance },
                tokens: rng.random_range(50..550),
            });
        }
    }
    requests.sort_by(|left, right| left.at.total_cmp(&right.at));
    requests
}

struct Replay {
    order: Order,
    started: time::Instant,
    now: f64,
    events: collections::BinaryHeap<TimedEvent>,
    sequence: u64,
    queues: Vec<queue::FairQueue<usize>>,
    first_come: Vec<collections::VecDeque<usize>>,
    idle: Vec<usize>,
    requests: Vec<Request>,
    waits: Vec<Vec<f64>>,
    served: Vec<f64>,
    served_since_correction: Vec<u64>,
    correction: rate::FairnessCorrection,
}

impl Replay {
    fn new(order: Order, fleet: FleetSize, requests: Vec<Request>) -> Self {
        let slots_per_instance = fleet.slots / fleet.instances;
        let remainder = fleet.slots % fleet.instances;
        let limits = queue::QueueLimits::default().with_max_items(200);
        Self {
            order,
            started: time::Instant::now(),
            now: 0.0,
            events: collections::BinaryHeap::new(),
            sequence: 0,
            queues: (0..fleet.instances)
                .map(|_| queue::FairQueue::new(limits.clone()))
                .collect(),
            first_come: vec![collections::VecDeque::new(); fleet.instances],
            idle: (0..fleet.instances)
                .map(|index| slots_per_instance + usize::from(index < remainder))
                .collect(),
            requests,
            waits: vec![Vec::new(); TEAMS],
            served: vec![0.0; TEAMS],
            served_since_correction: vec![0; TEAMS],
            correction: rate::FairnessCorrection::default(),
        }
    }

    fn at(&self) -> time::Instant {
        self.started + time::Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        let order = self.sequence;
        self.events.push(TimedEvent { at, order, event });
    }

    fn run(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, Event::Arrive(index));
        }
        self.schedule(0.0, Event::Correct);
        while let Some(timed) = self.events.pop() {
            self.now = timed.at;
            match timed.event {
                Event::Arrive(index) => self.arrive(index),
                Event::Free(instance) => {
                    self.idle[instance] += 1;
                    self.serve(instance);
                }
                Event::Correct => self.correct(),
            }
        }
    }

    fn correct(&mut self) {
        let now = self.at();
        for team in 0..TEAMS {
            let served = std::mem::take(&mut self.served_since_correction[team]);
            self.correction.record(&name_of(team), served, now);
        }
        if self.order == Order::FairCorrected {
            for team in 0..TEAMS {
                let weight = self.correction.weight(&name_of(team), now);
                for queue in &mut self.queues {
                    queue.set_weight(&name_of(team), weight);
                }
            }
        }
        if self.now < RUN_SECONDS {
            self.schedule(self.now + CORRECTION_INTERVAL, Event::Correct);
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index];
        let now = self.at();
        if self.order == Order::FirstCome {
            let queue = &mut self.first_come[request.instance];
            if queue.len() < 200 {
                queue.push_back(index);
            } else {
                self.waits[request.team].push(DEADLINE.as_secs_f64());
            }
        } else {
            let entry = queue::QueueEntry {
                team: name_of(request.team),
                tokens: amount::TokenCount(request.tokens),
                bytes: amount::ByteCount(1),
                priority: 0,
                deadline: now + DEADLINE,
            };
            if self.queues[request.instance]
                .push(entry, index, now)
                .is_err()
            {
                self.waits[request.team].push(DEADLINE.as_secs_f64());
            }
        }
        self.serve(request.instance);
    }

    fn next(&mut self, instance: usize) -> Option<usize> {
        if self.order == Order::FirstCome {
            return self.next_first_come(instance);
        }
        let now = self.at();
        let queue = &mut self.queues[instance];
        while let Some(expired) = queue.expired(now) {
            self.waits[self.requests[expired.item].team].push(DEADLINE.as_secs_f64());
        }
        queue.pop(now, |_, _| true).map(|item| item.item)
    }

    fn next_first_come(&mut self, instance: usize) -> Option<usize> {
        while let Some(index) = self.first_come[instance].pop_front() {
            let request = self.requests[index];
            if self.now - request.at < DEADLINE.as_secs_f64() {
                return Some(index);
            }
            self.waits[request.team].push(DEADLINE.as_secs_f64());
        }
        None
    }

    fn serve(&mut self, instance: usize) {
        while self.idle[instance] > 0 {
            let Some(index) = self.next(instance) else {
                return;
            };
            let request = self.requests[index];
            self.idle[instance] -= 1;
            self.waits[request.team].push(self.now - request.at);
            if self.now < RUN_SECONDS {
                self.served[request.team] += request.tokens as f64;
                self.served_since_correction[request.team] += request.tokens;
            }
            let duration_s = request.tokens as f64 / TOKENS_PER_S;
            self.schedule(self.now + duration_s, Event::Free(instance));
        }
    }

    /// Returns Jain's index over the tokens served to the teams, each relative to its demand or its fair share,
    /// whichever is lower.
    ///
    /// The index includes team 4, although only teams 0 to 3 send to all instances.
    fn jain_index(&self) -> f64 {
        let demand = |team: usize| -> f64 {
            let own = self.requests.iter().filter(|request| request.team == team);
            own.map(|request| request.tokens as f64).sum()
        };
        let total: f64 = self.served.iter().sum();
        let shares: Vec<f64> = (0..TEAMS)
            .map(|team| self.served[team] / demand(team).min(total / TEAMS as f64))
            .map(|share| share.min(1.0))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        sum * sum / (squares * TEAMS as f64)
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * share) as usize;
    values.get(index).copied().unwrap_or(0.0)
}

fn main() {
    println!(
        "| fleet | seed | queue | worst p99 wait of teams 1-3 s | p99 wait of team 4 (one instance) s | p99 wait of greedy team s | Jain's index |"
    );
    println!("|---|---|---|---|---|---|---|");
    for fleet in FLEETS {
        for seed in SEEDS {
            let requests = trace(fleet, seed);
            for order in [Order::FirstCome, Order::Fair, Order::FairCorrected] {
                let mut replay = Replay::new(order, fleet, requests.clone());
                replay.run();
                let p99: Vec<f64> = replay
                    .waits
                    .iter_mut()
                    .map(|waits| percentile(waits, 0.99))
                    .collect();
                println!(
                    "| {} | {seed} | {order:?} | {:.2} | {:.2} | {:.2} | {:.3} |",
                    fleet.label,
                    p99[1..4].iter().copied().fold(0.0, f64::max),
                    p99[4],
                    p99[0],
                    replay.jain_index(),
                );
            }
        }
    }
}
