//! Measures how long the placement engine takes to process each kind of event, at several fleet
//! sizes.
use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name, placement, server};
use galenahold_placement::{demand, engine};
use rand::{RngExt, SeedableRng};

const ROUNDS: usize = 4_000;
const REPLICAS_PER_SERVER: usize = 10;
const WAITING_PERCENT: usize = 10;

#[derive(Debug, Clone, Copy)]
struct Size {
    models: usize,
    replicas: usize,
}

const SIZES: [Size; 4] = [
    Size {
        models: 50,
        replicas: 10,
    },
    Size {
        models: 65,
        replicas: 16,
    },
    Size {
        models: 500,
        replicas: 400,
    },
    Size {
        models: 1_900,
        replicas: 3_800,
    },
];

fn artifact(model: usize) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: name::ModelName::from(format!("model-{model:04}")),
        version: name::VersionName::from("1"),
        adapter: None,
    }
}

fn announcement(size: Size, index: usize, sequence: u64) -> server::ServerAnnouncement {
    let first = index * REPLICAS_PER_SERVER;
    let last = (first + REPLICAS_PER_SERVER).min(size.replicas);
    let loaded = (first..last).map(|replica| server::LoadedReplica {
        model: artifact(replica % size.models).model,
        version: name::VersionName::from("1"),
        adapter: None,
        bytes: amount::ByteCount(8),
        order: replica as u64 + 1,
        state: server::ReplicaState::Ready,
    });
    let cached = (0..6).map(|offset| server::CachedCheckpoint {
        model: artifact((index * 7 + offset) % size.models).model,
        version: name::VersionName::from("1"),
        tier: server::CheckpointTier::Disk,
    });
    server::ServerAnnouncement {
        name: name::ServerName::from(format!("server-{index}")),
        incarnation: amount::IncarnationNumber(1),
        sequence,
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        data_centre: name::DataCentreName::from(format!("dc-{}", index % 3)),
        kind: server::ServerKind::Engine,
        checks_fencing: true,
        memory_bytes: amount::ByteCount(100),
        loaded: loaded.collect(),
        cached: cached.collect(),
        load: server::ServerLoad::default(),
        leaving: false,
        service: None,
    }
}

fn reservation(size: Size, replica: usize) -> placement::MemoryReservation {
    let index = replica / REPLICAS_PER_SERVER;
    placement::MemoryReservation {
        id: placement::ReservationId(replica as u64 + 1),
        server: name::ServerName::from(format!("server-{index}")),
        incarnation: amount::IncarnationNumber(1),
        artifact: artifact(replica % size.models),
        bytes: amount::ByteCount(8),
        state: placement::ReservationState::Loaded,
        fence: amount::FencingNumber { term: 1, index: 1 },
        sender: name::InstanceName::from("control-1"),
        sender_incarnation: amount::IncarnationNumber(1),
    }
}

fn intent(size: Size) -> intent::FleetIntent {
    let models = (0..size.models).map(|model| intent::ModelIntent {
        name: artifact(model).model,
        version: name::VersionName::from("1"),
        bytes: amount::ByteCount(8),
        min_replicas: 0,
        max_replicas: 8,
        max_request_tokens: amount::TokenCount(8_192),
        replica_concurrency: 16,
        adapters: Vec::new(),
    });
    intent::FleetIntent {
        models: models.collect(),
        ..intent::FleetIntent::default()
    }
}

fn demand_of(model: usize, waiting: u32) -> demand::ArtifactDemand {
    demand::ArtifactDemand {
        artifact: artifact(model),
        waiting,
        oldest_wait: time::Duration::from_millis(100),
        arrivals: 1,
        teams: vec![demand::TeamDemand {
            team: name::TeamName::from(format!("team-{}", model % 5)),
            waiting,
        }],
    }
}

fn report(
    demands: Vec<demand::ArtifactDemand>,
    work: Vec<demand::ReplicaWork>,
) -> engine::PlacementEvent {
    engine::PlacementEvent::DemandReported(demand::DemandReport {
        instance: name::InstanceName::from("entry-1"),
        incarnation: amount::IncarnationNumber(1),
        demands,
        work,
    })
}

struct Bench {
    engine: engine::PlacementEngine,
    now: time::Instant,
    costs: collections::BTreeMap<&'static str, Vec<time::Duration>>,
    effects: usize,
}

impl Bench {
    fn new(size: Size) -> Self {
        let now = time::Instant::now();
        let settings = engine::EngineSettings::new(
            name::InstanceName::from("control-1"),
            amount::IncarnationNumber(1),
        )
        .with_takeover_wait(time::Duration::ZERO);
        let policies = engine::PlacementPolicies::default();
        let mut bench = Self {
            engine: engine::PlacementEngine::new(settings, policies, now),
            now,
            costs: collections::BTreeMap::new(),
            effects: 0,
        };
        bench.step("", engine::PlacementEvent::IntentChanged(intent(size)));
        for replica in 0..size.replicas {
            let reservation = reservation(size, replica);
            bench.step("", engine::PlacementEvent::ReservationChanged(reservation));
        }
        for index in 0..servers(size) {
            bench.announce(size, index, 1, "");
        }
        bench
    }

    fn announce(&mut self, size: Size, index: usize, sequence: u64, label: &'static str) {
        let announcement = announcement(size, index, sequence);
        let age = time::Duration::ZERO;
        self.step(
            label,
            engine::PlacementEvent::ServerAnnounced { announcement, age },
        );
    }

    fn step(&mut self, label: &'static str, event: engine::PlacementEvent) {
        let started = time::Instant::now();
        let effects = self.engine.step(event, self.now);
        self.costs.entry(label).or_default().push(started.elapsed());
        self.effects += effects.len();
        for effect in effects {
            if let engine::PlacementEffect::Reserve {
                server, artifact, ..
            } = effect
            {
                self.step(
                    "refused reserve",
                    engine::PlacementEvent::ReserveRefused { server, artifact },
                );
            }
        }
    }
}

fn servers(size: Size) -> usize {
    size.replicas.div_ceil(REPLICAS_PER_SERVER).max(4)
}

fn run(size: Size, saturated: bool) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let mut bench = Bench::new(size);
    if saturated {
        let cold = (size.replicas.min(size.models)..size.models)
            .chain(0..size.models * WAITING_PERCENT / 100);
        let demands = cold.map(|model| demand_of(model, 3)).collect();
        bench.step("", report(demands, Vec::new()));
    }
    for round in 0..ROUNDS {
        bench.now += time::Duration::from_millis(1);
        let index = rng.random_range(0..servers(size));
        bench.announce(size, index, round as u64 + 2, "announcement");
        let model = rng.random_range(0..size.models);
        let waiting = rng.random_range(0..2);
        bench.step(
            "demand of one model",
            report(vec![demand_of(model, waiting)], Vec::new()),
        );
        let replica = rng.random_range(0..size.replicas);
        let work = demand::ReplicaWork {
            server: name::ServerName::from(format!("server-{}", replica / REPLICAS_PER_SERVER)),
            artifact: artifact(replica % size.models),
            in_flight: rng.random_range(0..3),
        };
        bench.step("work of one replica", report(Vec::new(), vec![work]));
        if round % 50 == 0 {
            bench.step("tick", engine::PlacementEvent::Tick);
        }
    }
    bench.costs.remove("");
    for (label, costs) in &mut bench.costs {
        costs.sort_unstable();
        let at = |permille: usize| costs[(costs.len() - 1) * permille / 1_000].as_nanos() / 100;
        let micros = |tenths: u128| format!("{}.{}", tenths / 10, tenths % 10);
        println!(
            "| {} | {} | {} | {label} | {} / {} / {} |",
            size.models,
            size.replicas,
            if saturated { "many wait" } else { "few wait" },
            micros(at(500)),
            micros(at(990)),
            micros(at(1_000)),
        );
    }
}

fn main() {
    println!("| models | replicas | demand | event | p50 / p99 / longest us |");
    println!("|---|---|---|---|---|");
    for size in SIZES {
        for saturated in [false, true] {
            run(size, saturated);
        }
    }
}
