//! Replays fleets with more rare models than their engines hold, and a few popular models that change.
//! Prints the waits of the calls, and their worth. The shapes are those of fleets I and T in
//! `docs/load-decisions.md`; a call runs on any engine with its model and a free slot.
#![expect(
    clippy::cast_precision_loss,
    reason = "the figures are only printed in a table"
)]

use std::collections;
use std::net;
use std::time;

use galenahold_domain::{amount, declaration, fleet as domain, name};
use galenahold_placement::fleet;
use rand::{RngExt, SeedableRng};

const COPIES_PER_ENGINE: usize = 18;
const INSTANCES: usize = 12;
const STEP_MS: u64 = 20;
const RUN_MS: u64 = 120_000;
const WARM_UP_MS: u64 = 20_000;
const UNLOAD_MS: u64 = 50;
const NOTICE_MS: u64 = 150;
const ADAPTERS_PER_MODEL: usize = 16;
/// Share of the calls of popular models that use an adapter.
const ADAPTER_SHARE: f64 = 0.25;
/// Time in which the set of popular models is replaced.
const CHANGE_MS: u64 = 10_000;

/// One kind of call: rate, objective and time until the caller leaves, in milliseconds, and worth.
struct CallKind {
    per_s: f64,
    due_ms: u64,
    leaves_ms: u64,
    on_time: f64,
    late: f64,
}

struct FleetShape {
    label: &'static str,
    engines: usize,
    slots: usize,
    models: usize,
    rare_models: usize,
    popular_models: usize,
    models_per_engine: usize,
    burst_factor: f64,
    store_ms: u64,
    disk_ms: u64,
    mean_run_ms: f64,
    rare: CallKind,
    popular: CallKind,
}

const FLEETS: [FleetShape; 2] = [
    FleetShape {
        label: "I",
        engines: 60,
        slots: 64,
        models: 323,
        rare_models: 303,
        popular_models: 8,
        models_per_engine: 3,
        burst_factor: 2.0,
        store_ms: 10_200,
        disk_ms: 1_000,
        mean_run_ms: 1_400.0,
        rare: CallKind {
            per_s: 60.8,
            due_ms: 6_000,
            leaves_ms: 18_000,
            on_time: 9.12,
            late: 2.09,
        },
        popular: CallKind {
            per_s: 134.3,
            due_ms: 450,
            leaves_ms: 3_200,
            on_time: 2.9,
            late: 0.2,
        },
    },
    FleetShape {
        label: "T",
        engines: 90,
        slots: 16,
        models: 293,
        rare_models: 248,
        popular_models: 18,
        models_per_engine: 4,
        burst_factor: 2.3,
        store_ms: 7_800,
        disk_ms: 1_200,
        mean_run_ms: 2_600.0,
        rare: CallKind {
            per_s: 29.4,
            due_ms: 3_000,
            leaves_ms: 12_000,
            on_time: 13.0,
            late: 1.96,
        },
        popular: CallKind {
            per_s: 150.3,
            due_ms: 500,
            leaves_ms: 2_400,
            on_time: 1.6,
            late: 0.5,
        },
    },
];

struct Call {
    model: usize,
    adapter: Option<usize>,
    instance: usize,
    at: u64,
    rare: bool,
}

impl Call {
    fn kind(&self, shape: &'static FleetShape) -> &'static CallKind {
        if self.rare {
            &shape.rare
        } else {
            &shape.popular
        }
    }
}

/// An order in progress at an engine.
struct Order {
    model: usize,
    loads: bool,
    from_store: bool,
    /// When it ends; unknown while an unload waits for runs.
    ends_at: Option<u64>,
}

#[derive(Default)]
struct Engine {
    models: Vec<usize>,
    /// Runs: model, instance, end.
    runs: Vec<(usize, usize, u64)>,
    disk: collections::HashSet<usize>,
    order: Option<Order>,
    /// Changes that the leader's record does not show yet.
    visible_at: u64,
}

#[derive(Default)]
struct Totals {
    waits_ms: Vec<u64>,
    calls: usize,
    left: usize,
    worth: f64,
    most_worth: f64,
}

impl Totals {
    fn count(&mut self, kind: &CallKind, wait_ms: Option<u64>) {
        self.calls += 1;
        self.most_worth += kind.on_time;
        match wait_ms {
            Some(wait_ms) => {
                self.worth += if wait_ms <= kind.due_ms {
                    kind.on_time
                } else {
                    kind.late
                };
                self.waits_ms.push(wait_ms);
            }
            None => self.left += 1,
        }
    }

    fn print(&mut self, label: &str) {
        self.waits_ms.sort_unstable();
        let at = |share: usize| {
            let index = (self.waits_ms.len() * share / 100).min(self.waits_ms.len() - 1);
            self.waits_ms[index]
        };
        println!(
            "| {label} | {} | {} | {} | {} | {} | {:.3} |",
            self.calls,
            self.left,
            at(50),
            at(90),
            at(99),
            self.worth / self.most_worth
        );
    }
}

struct Replay {
    shape: &'static FleetShape,
    random: rand::rngs::StdRng,
    planner: fleet::FleetPlanner,
    declared: declaration::DeclaredEngine,
    service: name::ServiceName,
    began: time::Instant,
    now: u64,
    engines: Vec<Engine>,
    records: Vec<domain::ServerRecord>,
    waiting: Vec<Call>,
    arrivals: collections::HashMap<(usize, usize), u32>,
    popular: Vec<usize>,
    rare: Totals,
    frequent: Totals,
    loads: [usize; 2],
    adapter_requests: usize,
    /// Refused adapter requests, and those of them at engines that executed a model order.
    adapter_refusals: [usize; 2],
    planning: time::Duration,
    rounds: u32,
}

fn model_name(model: usize) -> name::ModelName {
    name::ModelName::from(format!("m{model:03}"))
}

fn server_name(engine: usize) -> name::ServerName {
    name::ServerName::from(format!("s{engine:02}"))
}

fn index_of(name: &str) -> usize {
    name[1..].parse().expect("names end in numbers")
}

impl Replay {
    fn new(shape: &'static FleetShape, seed: u64) -> Self {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let model = |model| declaration::DeclaredModel {
            name: model_name(model),
            weights: amount::ByteCount(100),
            adapter: amount::ByteCount(0),
            adapters: (0..if model < shape.rare_models {
                0
            } else {
                ADAPTERS_PER_MODEL
            })
                .map(|adapter| name::AdapterName::from(format!("a{adapter}")))
                .collect(),
            store_load: time::Duration::from_millis(shape.store_ms),
            disk_load: time::Duration::from_millis(shape.disk_ms),
            memory_load: time::Duration::from_millis(shape.disk_ms),
        };
        let declared = declaration::DeclaredEngine {
            slots: 16,
            cache_tokens: amount::TokenCount(78_510),
            weight_memory: amount::ByteCount(100 * shape.models_per_engine as u64),
            adapter_slots: 8,
            store_loads_per_s: 4.0,
            tokens_per_event: 5,
            models: (0..shape.models).map(model).collect(),
        };
        let mut engines = Vec::new();
        for engine in 0..shape.engines {
            let mut disk: collections::HashSet<_> = (0..COPIES_PER_ENGINE)
                .map(|_| random.random_range(0..shape.models))
                .collect();
            let models: Vec<_> = (0..shape.models_per_engine)
                .map(|offset| (engine * shape.models_per_engine + offset) % shape.models)
                .collect();
            disk.extend(&models);
            engines.push(Engine {
                models,
                disk,
                ..Engine::default()
            });
        }
        let popular = (shape.rare_models..shape.rare_models + shape.popular_models).collect();
        let mut replay = Self {
            shape,
            random,
            planner: fleet::FleetPlanner::default(),
            declared,
            service: name::ServiceName::from("models"),
            began: time::Instant::now(),
            now: 0,
            records: Vec::new(),
            engines,
            waiting: Vec::new(),
            arrivals: collections::HashMap::new(),
            popular,
            rare: Totals::default(),
            frequent: Totals::default(),
            loads: [0, 0],
            adapter_requests: 0,
            adapter_refusals: [0, 0],
            planning: time::Duration::ZERO,
            rounds: 0,
        };
        replay.records = (0..shape.engines)
            .map(|engine| replay.record(engine))
            .collect();
        replay
    }

    fn record(&self, index: usize) -> domain::ServerRecord {
        let engine = &self.engines[index];
        let held = |model: &usize| domain::HeldModel {
            name: model_name(*model),
            version: 1,
            retiring: false,
        };
        let cached = engine
            .disk
            .iter()
            .filter(|model| !engine.models.contains(model));
        domain::ServerRecord::from(domain::ServerNotice {
            name: server_name(index),
            started_ms: 1,
            sequence: 1,
            service: self.service.clone(),
            address: net::SocketAddr::from(([10, 0, 0, 1], 80)),
            data_centre: name::DataCentreName::from(["one", "two", "three"][index % 3]),
            slots: 16,
            stage: domain::ServerStage::Ready,
            removal_in: None,
            models: engine.models.iter().map(held).collect(),
            adapters: Vec::new(),
            copies: domain::WeightCopies::new(
                Vec::new(),
                cached.map(|model| model_name(*model)).collect(),
            ),
        })
    }

    fn instant(&self) -> time::Instant {
        self.began + time::Duration::from_millis(self.now)
    }

    fn run(&mut self) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.arrive();
            self.serve();
            self.report();
            self.finish_orders();
            self.plan();
        }
    }

    /// Adds the calls of one step; a tenth of the time is a burst of rare ones.
    fn arrive(&mut self) {
        if self.now % (CHANGE_MS / self.shape.popular_models as u64) < STEP_MS {
            let replaced = self.random.random_range(0..self.shape.popular_models);
            self.popular[replaced] = self
                .random
                .random_range(self.shape.rare_models..self.shape.models);
        }
        let burst = self.now % 30_000 < 6_000;
        let rare_rate = self.shape.rare.per_s * if burst { self.shape.burst_factor } else { 1.0 };
        for (rate, rare) in [(rare_rate, true), (self.shape.popular.per_s, false)] {
            let mut expected = rate * STEP_MS as f64 / 1_000.0;
            while self.random.random::<f64>() < expected {
                expected -= 1.0;
                let model = if rare {
                    self.random.random_range(0..self.shape.rare_models)
                } else {
                    self.popular[self.random.random_range(0..self.shape.popular_models)]
                };
                let instance = self.random.random_range(0..INSTANCES);
                *self.arrivals.entry((instance, model)).or_default() += 1;
                self.waiting.push(Call {
                    model,
                    adapter: (!rare && self.random.random::<f64>() < ADAPTER_SHARE)
                        .then(|| self.random.random_range(0..ADAPTERS_PER_MODEL)),
                    instance,
                    at: self.now,
                    rare,
                });
            }
        }
    }

    /// Places waiting calls at engines with a free slot, and lets callers leave.
    fn serve(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            engine.runs.retain(|(_, _, end)| *end > now);
        }
        for call in std::mem::take(&mut self.waiting) {
            let name = model_name(call.model);
            let serving = (0..self.shape.engines).filter(|index| {
                let engine = &self.engines[*index];
                engine.runs.len() < self.shape.slots
                    && engine.models.contains(&call.model)
                    && self.records[*index].serves_model(&name)
            });
            let chosen = serving.min_by_key(|index| self.engines[*index].runs.len());
            let kind = call.kind(self.shape);
            let wait_ms = now - call.at;
            let counted = call.at > WARM_UP_MS;
            if let Some(index) = chosen {
                if let Some(adapter) = call.adapter {
                    self.request_adapter(index, call.model, adapter, counted);
                }
                let span = -self.shape.mean_run_ms * (1.0 - self.random.random::<f64>()).ln();
                let span = time::Duration::from_secs_f64(span / 1_000.0).as_millis();
                let end = now + u64::try_from(span).expect("runs take seconds");
                self.engines[index]
                    .runs
                    .push((call.model, call.instance, end));
                if counted {
                    self.totals(call.rare).count(kind, Some(wait_ms));
                }
            } else if wait_ms >= kind.leaves_ms {
                if counted {
                    self.totals(call.rare).count(kind, None);
                }
            } else {
                self.waiting.push(call);
            }
        }
    }

    fn totals(&mut self, rare: bool) -> &mut Totals {
        if rare {
            &mut self.rare
        } else {
            &mut self.frequent
        }
    }

    /// Requests the adapter of a call; a call without its adapter runs all the same.
    fn request_adapter(&mut self, index: usize, model: usize, adapter: usize, counted: bool) {
        let now = self.instant();
        let held = domain::HeldAdapter {
            model: model_name(model),
            adapter: name::AdapterName::from(format!("a{adapter}")),
        };
        let record = &self.records[index];
        let decision = self
            .planner
            .request_adapter(record, &self.declared, &held, now);
        self.planner.record_adapter_use(&record.name, &held, now);
        self.adapter_requests += usize::from(counted);
        match decision {
            fleet::AdapterDecision::Available { .. } => {}
            fleet::AdapterDecision::Order { orders, .. } => {
                for order in &orders {
                    self.confirm(order);
                }
            }
            fleet::AdapterDecision::Refused { reason, .. } => {
                self.adapter_refusals[0] += usize::from(counted);
                let is_busy = reason == "the engine is executing a model order";
                self.adapter_refusals[1] += usize::from(counted && is_busy);
            }
        }
    }

    fn confirm(&mut self, order: &fleet::EngineOrder) {
        let (bytes, now) = (amount::ByteCount(0), self.instant());
        let receipt = fleet::OrderReceipt::Done;
        self.planner.apply_receipt(order, receipt, bytes, now);
    }

    /// Reports the demand of the instances whose turn it is: each every 240 ms.
    fn report(&mut self) {
        let now = self.instant();
        let turn = (self.now / STEP_MS) as usize % INSTANCES;
        let mut counts = collections::BTreeMap::<usize, fleet::DemandCounts>::new();
        let arrivals = self
            .arrivals
            .extract_if(|(instance, _), _| *instance == turn);
        for ((_, model), count) in arrivals {
            counts.entry(model).or_default().arrivals = count;
        }
        for call in self.waiting.iter().filter(|call| call.instance == turn) {
            let waited = self.now - call.at;
            let remaining = |span: u64| time::Duration::from_millis(span.saturating_sub(waited));
            let counts = counts.entry(call.model).or_default();
            counts.waiting += 1;
            counts.waiting_calls.push(fleet::WaitingCall {
                due_in: remaining(call.kind(self.shape).due_ms),
                leaves_in: remaining(call.kind(self.shape).leaves_ms),
            });
        }
        let runs = self.engines.iter().flat_map(|engine| &engine.runs);
        for (model, _, _) in runs.filter(|(_, instance, _)| *instance == turn) {
            counts.entry(*model).or_default().running += 1;
        }
        let instance = name::InstanceName::from(format!("entry-{turn}"));
        // An instance without calls for a model that it reported before says so.
        for model in 0..self.shape.models {
            let counts = counts.remove(&model).unwrap_or_default();
            let key = (self.service.clone(), model_name(model));
            self.planner.record_demand(&instance, key, counts, now);
        }
    }

    fn finish_orders(&mut self) {
        for index in 0..self.shape.engines {
            let engine = &mut self.engines[index];
            let Some(order) = &mut engine.order else {
                if engine.visible_at > 0 && engine.visible_at <= self.now {
                    engine.visible_at = 0;
                    self.records[index] = self.record(index);
                }
                continue;
            };
            if order.ends_at.is_none() && !engine.runs.iter().any(|run| run.0 == order.model) {
                order.ends_at = Some(self.now + UNLOAD_MS);
            }
            if order.ends_at.is_some_and(|end| end <= self.now) {
                if order.loads {
                    engine.models.push(order.model);
                    engine.disk.insert(order.model);
                } else {
                    engine.models.retain(|model| *model != order.model);
                }
                assert!(
                    engine.models.len() <= self.shape.models_per_engine,
                    "an engine is over its memory"
                );
                engine.order = None;
                engine.visible_at = self.now + NOTICE_MS;
            }
        }
    }

    fn plan(&mut self) {
        let now = self.instant();
        let began = time::Instant::now();
        let records = self.records.iter();
        let step = self
            .planner
            .plan(&self.service, &self.declared, records, now);
        self.planning += began.elapsed();
        self.rounds += 1;
        for (server, model, retiring) in &step.retiring {
            let record = &mut self.records[index_of(server.as_str())];
            for held in record.models.iter_mut().filter(|held| held.name == *model) {
                held.retiring = *retiring;
            }
        }
        for order in step.orders {
            if !order.action.is_about_model() {
                self.confirm(&order);
                continue;
            }
            let index = index_of(order.server.as_str());
            let model = index_of(order.action.model().as_str());
            let store_loads = self
                .engines
                .iter()
                .filter(|engine| engine.order.as_ref().is_some_and(|order| order.from_store));
            let store_loads = store_loads.count() as u64 + 1;
            let engine = &mut self.engines[index];
            let loads = matches!(order.action, fleet::OrderAction::LoadModel(_));
            let from_store = loads && !engine.disk.contains(&model);
            let duration = if from_store {
                self.shape.store_ms * store_loads.max(2) / 2
            } else {
                self.shape.disk_ms
            };
            if loads && self.now > WARM_UP_MS {
                self.loads[usize::from(from_store)] += 1;
            }
            engine.order = Some(Order {
                model,
                loads,
                from_store,
                ends_at: loads.then_some(self.now + duration),
            });
        }
    }
}

fn main() {
    println!("| fleet, seed, calls | number | left | wait p50 (ms) | p90 | p99 | worth |");
    println!("|---|---|---|---|---|---|---|");
    for (shape, seed) in FLEETS
        .iter()
        .flat_map(|shape| [1, 2, 3].map(|seed| (shape, seed)))
    {
        let mut replay = Replay::new(shape, seed);
        replay.run();
        replay.rare.print(&format!("{}, {seed}, rare", shape.label));
        replay
            .frequent
            .print(&format!("{}, {seed}, popular", shape.label));
        println!(
            "{} loads from disk, {} from the store in {} s; {} of {} adapter requests refused, {} of \
             them by a model order; {} us a round",
            replay.loads[0],
            replay.loads[1],
            (RUN_MS - WARM_UP_MS) / 1_000,
            replay.adapter_refusals[0],
            replay.adapter_requests,
            replay.adapter_refusals[1],
            (replay.planning / replay.rounds).as_micros()
        );
    }
}
