//! Compares placement policies on simulated traces of rarely used models.
//!
//! Prints a table with the waiting times of requests that found no loaded replica, and the idle
//! accelerator hours.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are only printed in a table"
)]

use std::collections;
use std::thread;
use std::time;

use galenahold_domain::{amount, intent, name, placement, server};
use galenahold_placement::{demand, engine, policy};
use rand::{RngExt, SeedableRng};

const STEP_SECONDS: f64 = 0.25;
const WARM_UP_SECONDS: f64 = 3_600.0;
const RUN_SECONDS: f64 = 4.0 * 3_600.0;
const SEEDS: [u64; 3] = [1, 2, 3];
const GIB: u64 = 1 << 30;
const SERVER_BYTES: u64 = 80 * GIB;
const STORE_BYTES_PER_S: f64 = 1.5e9;
const DISK_BYTES_PER_S: f64 = 4e9;
const DISK_CHECKPOINTS: usize = 6;
const CONCURRENCY: usize = 16;
const TEAMS: usize = 5;
const FLOODING_TEAMS: usize = 2;

#[derive(Debug, Clone, Copy)]
struct FleetSize {
    label: &'static str,
    servers: usize,
    models: usize,
    loads_per_second: u32,
}

const FLEETS: [FleetSize; 2] = [
    FleetSize {
        label: "pamoja, 10 servers, 50 models",
        servers: 10,
        models: 50,
        loads_per_second: 4,
    },
    FleetSize {
        label: "prydderch, 12 servers, 65 models",
        servers: 12,
        models: 65,
        loads_per_second: 3,
    },
];

#[derive(Debug, Clone, Copy)]
struct Request {
    at: f64,
    model: usize,
    duration_s: f64,
}

struct Trace {
    requests: Vec<Request>,
    bytes: Vec<u64>,
}

/// Generates a trace: a third of the models are used in regular bursts, a third at random and a
/// third hardly ever; three models are busy. With `storms`, two teams request all their models at
/// once every 20 minutes, and the other teams request a few of theirs 2 s later.
fn trace(fleet: FleetSize, storms: bool, seed: u64) -> Trace {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let bytes: Vec<u64> = (0..fleet.models)
        .map(|_| rng.random_range(8..40) * GIB)
        .collect();
    for model in 0..fleet.models {
        let mean_gap = match model {
            0..3 => 1.0,
            _ => match model % 3 {
                0 => rng.random_range(60.0..1_500.0),
                1 => rng.random_range(60.0..2_400.0),
                _ => rng.random_range(2_400.0..9_000.0),
            },
        };
        let mut at = rng.random_range(0.0..mean_gap);
        while at < RUN_SECONDS {
            let burst = if model < 3 {
                1
            } else {
                rng.random_range(1..12)
            };
            for _ in 0..burst {
                requests.push(Request {
                    at: at + rng.random_range(0.0..2.0),
                    model,
                    duration_s: rng.random_range(0.5..4.0),
                });
            }
            at += if model % 3 == 0 && model >= 3 {
                mean_gap * rng.random_range(0.9..1.1)
            } else {
                -(1.0 - rng.random::<f64>()).ln() * mean_gap
            };
        }
    }
    if storms {
        let mut at = 1_200.0;
        while at < RUN_SECONDS {
            for model in 0..fleet.models {
                let floods = model % TEAMS < FLOODING_TEAMS;
                let follows = (model + at as usize / 1_200).is_multiple_of(5);
                let (count, delay) = match (floods, follows) {
                    (true, _) => (rng.random_range(1..30), 0.0),
                    (false, true) => (2, 2.0),
                    (false, false) => (0, 0.0),
                };
                for _ in 0..count {
                    let at = at + delay + rng.random_range(0.0..3.0);
                    let duration_s = rng.random_range(0.5..4.0);
                    requests.push(Request {
                        at,
                        model,
                        duration_s,
                    });
                }
            }
            at += 1_200.0;
        }
    }
    requests.sort_by(|left, right| left.at.total_cmp(&right.at));
    Trace { requests, bytes }
}

struct FakeReplica {
    server: usize,
    running: Vec<f64>,
    reported: u32,
    draining: bool,
}

struct FakeLoad {
    reservation: placement::MemoryReservation,
    remaining_bytes: f64,
    bytes_per_second: f64,
    remote: bool,
}

#[derive(Default)]
struct FakeServer {
    sequence: u64,
    loaded: collections::BTreeMap<usize, u64>,
    disk: collections::VecDeque<usize>,
}

struct Replay<'a, O, K, D> {
    trace: &'a Trace,
    engine: engine::PlacementEngine<O, K, D>,
    started: time::Instant,
    now: f64,
    servers: Vec<FakeServer>,
    log: collections::BTreeMap<placement::ReservationId, placement::MemoryReservation>,
    next_id: u64,
    loads: Vec<FakeLoad>,
    unloads: Vec<placement::MemoryReservation>,
    replicas: collections::BTreeMap<placement::ReservationId, FakeReplica>,
    by_model: Vec<Vec<placement::ReservationId>>,
    waiting: Vec<collections::VecDeque<Request>>,
    reported_waiting: Vec<u32>,
    arrivals: Vec<u32>,
    figures: Figures,
}

#[derive(Debug, Default, Clone)]
struct Figures {
    cold: Vec<f64>,
    cold_by_team: Vec<Vec<f64>>,
    all: usize,
    idle_hours: f64,
    loads: usize,
}

fn model_name(model: usize) -> name::ModelName {
    name::ModelName::from(format!("model-{model:03}"))
}

fn artifact(model: usize) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: model_name(model),
        version: name::VersionName::from("1"),
        adapter: None,
    }
}

fn model_of(artifact: &placement::ReplicaArtifact) -> usize {
    let digits = artifact.model.trim_start_matches("model-");
    digits.parse().expect("the name ends with a number")
}

fn server_of(name: &name::ServerName) -> usize {
    name.trim_start_matches("server-")
        .parse()
        .expect("the name ends with a number")
}

impl<'a, O, K, D> Replay<'a, O, K, D>
where
    O: policy::LoadOrder,
    K: policy::KeepAlive,
    D: policy::Destination,
{
    fn new(
        fleet: FleetSize,
        trace: &'a Trace,
        policies: engine::PlacementPolicies<O, K, D>,
    ) -> Self {
        let started = time::Instant::now();
        let settings = engine::EngineSettings::new(
            name::InstanceName::from("control-1"),
            amount::IncarnationNumber(1),
        )
        .with_takeover_wait(time::Duration::ZERO)
        .with_drain_notice(time::Duration::from_millis(500));
        let mut replay = Self {
            trace,
            engine: engine::PlacementEngine::new(settings, policies, started),
            started,
            now: 0.0,
            servers: (0..fleet.servers).map(|_| FakeServer::default()).collect(),
            log: collections::BTreeMap::new(),
            next_id: 1,
            loads: Vec::new(),
            unloads: Vec::new(),
            replicas: collections::BTreeMap::new(),
            by_model: vec![Vec::new(); fleet.models],
            waiting: vec![collections::VecDeque::new(); fleet.models],
            reported_waiting: vec![0; fleet.models],
            arrivals: vec![0; fleet.models],
            figures: Figures {
                cold_by_team: vec![Vec::new(); TEAMS],
                ..Figures::default()
            },
        };
        let models = trace
            .bytes
            .iter()
            .enumerate()
            .map(|(model, bytes)| intent::ModelIntent {
                name: model_name(model),
                version: name::VersionName::from("1"),
                bytes: amount::ByteCount(*bytes),
                min_replicas: 0,
                max_replicas: 2,
                max_request_tokens: amount::TokenCount(8_192),
                replica_concurrency: CONCURRENCY as u32,
                adapters: Vec::new(),
            });
        let intent = intent::FleetIntent {
            models: models.collect(),
            store: intent::StoreLimits {
                loads_per_second: fleet.loads_per_second,
                ..intent::StoreLimits::default()
            },
            ..intent::FleetIntent::default()
        };
        replay.step(engine::PlacementEvent::IntentChanged(intent));
        replay
    }

    fn instant(&self) -> time::Instant {
        self.started + time::Duration::from_secs_f64(self.now)
    }

    fn run(mut self) -> Figures {
        let mut next = 0;
        let mut tick: u64 = 0;
        while self.now < RUN_SECONDS {
            while let Some(request) = self.trace.requests.get(next) {
                if request.at > self.now {
                    break;
                }
                next += 1;
                self.enqueue(*request);
            }
            self.serve_requests();
            if tick.is_multiple_of(4) {
                for server in 0..self.servers.len() {
                    self.announce(server);
                }
            }
            self.report();
            self.step(engine::PlacementEvent::Tick);
            self.finish_orders();
            tick += 1;
            self.now += STEP_SECONDS;
        }
        self.figures
    }

    fn enqueue(&mut self, request: Request) {
        self.arrivals[request.model] += 1;
        if request.at > WARM_UP_SECONDS {
            self.figures.all += 1;
        }
        self.waiting[request.model].push_back(request);
    }

    /// Ends finished requests, starts waiting ones and adds up idle time.
    fn serve_requests(&mut self) {
        let now = self.now;
        for (id, replica) in &mut self.replicas {
            replica.running.retain(|end| *end > now);
            let bytes = self
                .log
                .get(id)
                .map_or(0, |reservation| reservation.bytes.0);
            if replica.running.is_empty() && now > WARM_UP_SECONDS {
                let share = bytes as f64 / SERVER_BYTES as f64;
                self.figures.idle_hours += STEP_SECONDS / 3_600.0 * share;
            }
        }
        for model in 0..self.waiting.len() {
            while let Some(request) = self.waiting[model].front().copied() {
                let free_replica = self.by_model[model].iter().copied().find(|id| {
                    let replica = self.replicas.get(id);
                    replica.is_some_and(|replica| {
                        !replica.draining && replica.running.len() < CONCURRENCY
                    })
                });
                let Some(replica) = free_replica.and_then(|id| self.replicas.get_mut(&id)) else {
                    break;
                };
                replica.running.push(now + request.duration_s);
                self.waiting[model].pop_front();
                let wait = now - request.at;
                if request.at > WARM_UP_SECONDS && wait > 2.0 * STEP_SECONDS {
                    self.figures.cold.push(wait);
                    self.figures.cold_by_team[model % TEAMS].push(wait);
                }
            }
        }
    }

    fn report(&mut self) {
        let mut demands = Vec::new();
        for model in 0..self.waiting.len() {
            let waiting = self.waiting[model].len() as u32;
            let arrivals = std::mem::take(&mut self.arrivals[model]);
            if waiting == self.reported_waiting[model] && arrivals == 0 {
                continue;
            }
            self.reported_waiting[model] = waiting;
            let oldest = self.waiting[model].front();
            let oldest = oldest.map_or(0.0, |request| self.now - request.at);
            demands.push(demand::ArtifactDemand {
                artifact: artifact(model),
                waiting,
                oldest_wait: time::Duration::from_secs_f64(oldest),
                arrivals,
                teams: vec![demand::TeamDemand {
                    team: name::TeamName::from(format!("team-{}", model % TEAMS)),
                    waiting,
                }],
            });
        }
        let mut work = Vec::new();
        for (id, replica) in &mut self.replicas {
            let in_flight = replica.running.len() as u32;
            if in_flight != replica.reported {
                replica.reported = in_flight;
                work.push(demand::ReplicaWork {
                    server: name::ServerName::from(format!("server-{}", replica.server)),
                    artifact: self.log[id].artifact.clone(),
                    in_flight,
                });
            }
        }
        self.step(engine::PlacementEvent::DemandReported(
            demand::DemandReport {
                instance: name::InstanceName::from("entry-1"),
                incarnation: amount::IncarnationNumber(1),
                demands,
                work,
            },
        ));
    }

    fn announce(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.sequence += 1;
        let loaded = server
            .loaded
            .iter()
            .map(|(model, order)| server::LoadedReplica {
                model: model_name(*model),
                version: name::VersionName::from("1"),
                adapter: None,
                bytes: amount::ByteCount(self.trace.bytes[*model]),
                order: *order,
                state: server::ReplicaState::Ready,
            });
        let cached = server.disk.iter().map(|model| server::CachedCheckpoint {
            model: model_name(*model),
            version: name::VersionName::from("1"),
            tier: server::CheckpointTier::Disk,
        });
        let announcement = server::ServerAnnouncement {
            name: name::ServerName::from(format!("server-{index}")),
            incarnation: amount::IncarnationNumber(1),
            sequence: server.sequence,
            address: "127.0.0.1:9".parse().expect("the address is valid"),
            data_centre: name::DataCentreName::from(format!("dc-{}", index % 3)),
            kind: server::ServerKind::Engine,
            checks_fencing: true,
            memory_bytes: amount::ByteCount(SERVER_BYTES),
            loaded: loaded.collect(),
            cached: cached.collect(),
            load: server::ServerLoad::default(),
            leaving: false,
            service: None,
        };
        let age = time::Duration::ZERO;
        self.step(engine::PlacementEvent::ServerAnnounced { announcement, age });
    }

    fn finish_orders(&mut self) {
        for reservation in std::mem::take(&mut self.unloads) {
            let model = model_of(&reservation.artifact);
            let server = server_of(&reservation.server);
            self.servers[server].loaded.remove(&model);
            self.replicas.remove(&reservation.id);
            self.by_model[model].retain(|id| *id != reservation.id);
            self.end_order(&reservation, engine::OrderOutcome::Unloaded);
        }
        let remote = self.loads.iter().filter(|load| load.remote).count();
        let slowdown = (remote as f64 / 4.0).max(1.0);
        for load in &mut self.loads {
            let bytes_per_second = if load.remote {
                load.bytes_per_second / slowdown
            } else {
                load.bytes_per_second
            };
            load.remaining_bytes -= bytes_per_second * STEP_SECONDS;
        }
        let (done, rest) = std::mem::take(&mut self.loads)
            .into_iter()
            .partition::<Vec<_>, _>(|load| load.remaining_bytes <= 0.0);
        self.loads = rest;
        for load in done {
            self.finish_load(&load.reservation);
        }
    }

    fn finish_load(&mut self, reservation: &placement::MemoryReservation) {
        let model = model_of(&reservation.artifact);
        let index = server_of(&reservation.server);
        let server = &mut self.servers[index];
        server.loaded.insert(model, reservation.id.0);
        server.disk.retain(|other| *other != model);
        server.disk.push_back(model);
        if server.disk.len() > DISK_CHECKPOINTS {
            server.disk.pop_front();
        }
        self.by_model[model].push(reservation.id);
        let replica = FakeReplica {
            server: index,
            running: Vec::new(),
            reported: 0,
            draining: false,
        };
        self.replicas.insert(reservation.id, replica);
        self.end_order(reservation, engine::OrderOutcome::Loaded);
    }

    fn end_order(
        &mut self,
        reservation: &placement::MemoryReservation,
        outcome: engine::OrderOutcome,
    ) {
        self.step(engine::PlacementEvent::OrderEnded {
            id: reservation.id,
            fence: reservation.fence,
            outcome,
        });
    }

    fn step(&mut self, event: engine::PlacementEvent) {
        let now = self.instant();
        let mut effects = collections::VecDeque::from(self.engine.step(event, now));
        while let Some(effect) = effects.pop_front() {
            if let Some(event) = self.apply_effect(effect) {
                effects.extend(self.engine.step(event, now));
            }
        }
    }

    fn apply_effect(&mut self, effect: engine::PlacementEffect) -> Option<engine::PlacementEvent> {
        match effect {
            engine::PlacementEffect::Reserve {
                server,
                incarnation,
                artifact,
                bytes,
                ..
            } => {
                self.next_id += 1;
                let reservation = placement::MemoryReservation {
                    id: placement::ReservationId(self.next_id),
                    server,
                    incarnation,
                    artifact,
                    bytes,
                    state: placement::ReservationState::Ordered,
                    fence: self.fence(),
                    sender: name::InstanceName::from("control-1"),
                    sender_incarnation: amount::IncarnationNumber(1),
                };
                self.log.insert(reservation.id, reservation.clone());
                Some(engine::PlacementEvent::ReservationChanged(reservation))
            }
            engine::PlacementEffect::SendLoad { reservation } => {
                self.send_load(reservation);
                None
            }
            engine::PlacementEffect::SendUnload { reservation } => {
                self.unloads.push(reservation);
                None
            }
            engine::PlacementEffect::MarkLoaded { id } => {
                self.advance(id, placement::ReservationState::Loaded)
            }
            engine::PlacementEffect::Drain { id } => {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.draining = true;
                }
                self.advance(id, placement::ReservationState::Draining)
            }
            engine::PlacementEffect::Unload { id } => {
                self.advance(id, placement::ReservationState::Unloading)
            }
            engine::PlacementEffect::Release { id } => {
                self.log.remove(&id);
                Some(engine::PlacementEvent::ReservationReleased { id })
            }
            other => panic!("effect that this replay does not support: {other:?}"),
        }
    }

    fn send_load(&mut self, reservation: placement::MemoryReservation) {
        let model = model_of(&reservation.artifact);
        let server = &self.servers[server_of(&reservation.server)];
        let remote = !server.disk.contains(&model);
        self.figures.loads += usize::from(self.now > WARM_UP_SECONDS);
        self.loads.push(FakeLoad {
            remaining_bytes: reservation.bytes.0 as f64,
            bytes_per_second: if remote {
                STORE_BYTES_PER_S
            } else {
                DISK_BYTES_PER_S
            },
            remote,
            reservation,
        });
    }

    fn advance(
        &mut self,
        id: placement::ReservationId,
        state: placement::ReservationState,
    ) -> Option<engine::PlacementEvent> {
        self.next_id += 1;
        let fence = self.fence();
        let reservation = self.log.get_mut(&id)?;
        reservation.state = state;
        reservation.fence = fence;
        Some(engine::PlacementEvent::ReservationChanged(
            reservation.clone(),
        ))
    }

    fn fence(&self) -> amount::FencingNumber {
        amount::FencingNumber {
            term: 1,
            index: self.next_id,
        }
    }
}

fn percentile(values: &[f64], share: f64) -> f64 {
    let index = ((values.len() as f64 - 1.0) * share) as usize;
    values.get(index).copied().unwrap_or(0.0)
}

fn replay<O, K, D>(
    label: &str,
    fleet: FleetSize,
    storms: bool,
    policies: impl Fn() -> engine::PlacementPolicies<O, K, D> + Sync,
) -> String
where
    O: policy::LoadOrder,
    K: policy::KeepAlive,
    D: policy::Destination,
{
    let mut total = Figures::default();
    let mut worst_team: f64 = 0.0;
    for seed in SEEDS {
        let trace = trace(fleet, storms, seed);
        let mut figures = Replay::new(fleet, &trace, policies()).run();
        figures.cold.sort_by(f64::total_cmp);
        for team in &mut figures.cold_by_team[FLOODING_TEAMS..] {
            team.sort_by(f64::total_cmp);
            worst_team = worst_team.max(percentile(team, 0.99));
        }
        total.cold.append(&mut figures.cold);
        total.all += figures.all;
        total.idle_hours += figures.idle_hours / SEEDS.len() as f64;
        total.loads += figures.loads;
    }
    total.cold.sort_by(f64::total_cmp);
    let warm = total.all - total.cold.len();
    let mut waits = vec![0.0; warm];
    waits.extend(&total.cold);
    format!(
        "| {} | {} | {label} | {:.1} % | {:.1} / {:.1} / {:.1} | {:.1} / {:.1} | {worst_team:.1} | {:.1} | {} |",
        fleet.label,
        if storms { "storms" } else { "calm" },
        total.cold.len() as f64 / total.all as f64 * 100.0,
        percentile(&total.cold, 0.5),
        percentile(&total.cold, 0.95),
        percentile(&total.cold, 0.99),
        percentile(&waits, 0.95),
        percentile(&waits, 0.99),
        total.idle_hours,
        total.loads / SEEDS.len(),
    )
}

fn with_keep_alive<K: policy::KeepAlive>(
    keep_alive: K,
) -> engine::PlacementPolicies<policy::ArrivalOrder, K> {
    engine::PlacementPolicies {
        order: policy::ArrivalOrder,
        keep_alive,
        destination: policy::NearestCheckpoint,
    }
}

fn keep_alive_rows(fleet: FleetSize) -> Vec<String> {
    let minutes = [1, 2, 5, 10, 20, 40];
    let fixed = minutes.map(|minutes| {
        move || {
            replay(&format!("fixed {minutes} min"), fleet, false, || {
                with_keep_alive(policy::FixedKeepAlive::new(time::Duration::from_mins(
                    minutes,
                )))
            })
        }
    });
    let prices = [10, 20, 40, 60, 100, 200, 400];
    let histogram = prices.map(|price| {
        move || {
            replay(&format!("histogram, price {price}"), fleet, false, || {
                with_keep_alive(policy::HistogramKeepAlive::new(f64::from(price)))
            })
        }
    });
    thread::scope(|scope| {
        let fixed = fixed.map(|row| scope.spawn(row));
        let recency = scope.spawn(move || {
            replay("until memory is needed (LRU)", fleet, false, || {
                with_keep_alive(policy::RecencyKeepAlive)
            })
        });
        let histogram = histogram.map(|row| scope.spawn(row));
        let rows = fixed.into_iter().chain([recency]).chain(histogram);
        rows.map(|row| row.join().expect("the replay thread finishes"))
            .collect()
    })
}

fn weighted_row(fleet: FleetSize, aging_ms: u64) -> String {
    let aging = time::Duration::from_millis(aging_ms);
    let label = format!("waiting-weighted, aging {aging_ms} ms");
    replay(&label, fleet, true, || engine::PlacementPolicies {
        order: policy::WaitingWeighted::new(aging),
        keep_alive: policy::HistogramKeepAlive::default(),
        destination: policy::NearestCheckpoint,
    })
}

fn order_rows(fleet: FleetSize) -> Vec<String> {
    thread::scope(|scope| {
        let rows = [
            scope.spawn(move || {
                replay("arrival order", fleet, true, || engine::PlacementPolicies {
                    order: policy::ArrivalOrder,
                    keep_alive: policy::HistogramKeepAlive::default(),
                    destination: policy::NearestCheckpoint,
                })
            }),
            scope.spawn(move || {
                replay("shortest expected", fleet, true, || {
                    engine::PlacementPolicies {
                        order: policy::ShortestLoad,
                        keep_alive: policy::HistogramKeepAlive::default(),
                        destination: policy::NearestCheckpoint,
                    }
                })
            }),
            scope.spawn(move || {
                replay("arrival order, fair teams", fleet, true, || {
                    engine::PlacementPolicies {
                        order: policy::FairArrival,
                        keep_alive: policy::HistogramKeepAlive::default(),
                        destination: policy::NearestCheckpoint,
                    }
                })
            }),
            scope.spawn(move || weighted_row(fleet, 250)),
            scope.spawn(move || weighted_row(fleet, 1_000)),
            scope.spawn(move || weighted_row(fleet, 2_000)),
            scope.spawn(move || weighted_row(fleet, 10_000)),
            scope.spawn(move || {
                replay("arrival order, most free memory", fleet, true, || {
                    engine::PlacementPolicies {
                        order: policy::ArrivalOrder,
                        keep_alive: policy::HistogramKeepAlive::default(),
                        destination: policy::WorstFit,
                    }
                })
            }),
        ];
        rows.map(|row| row.join().expect("the replay thread finishes"))
            .to_vec()
    })
}

fn main() {
    let only_orders = std::env::args().nth(1).as_deref() == Some("orders");
    println!(
        "| fleet | trace | policy | requests that waited | their wait p50 / p95 / p99 s | all requests p95 / p99 s | worst p99 wait of teams that never flood s | idle accelerator hours | loads |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for fleet in FLEETS {
        if !only_orders {
            for row in keep_alive_rows(fleet) {
                println!("{row}");
            }
        }
        for row in order_rows(fleet) {
            println!("{row}");
        }
    }
}
