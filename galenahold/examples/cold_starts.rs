//! Measures cold starts of a deployment with real instances and stand-in engines.
//!
//! `cargo run --release -p galenahold --example cold_starts -- deployments/pamoja.json` measures, on one
//! fleet: models that are asked for alone, adapters beside a loaded base model, and ten models at once.
//! The bare load is the same order given to an engine outside the fleet on the same weight store.

use std::env;
use std::error;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::{deployment, engine, ledger, store};
use serde_json::json;

/// How long the fleet may take to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_mins(1);

/// Pause before each lone cold start, so that announcements and ticks meet it at any phase.
const PAUSE: time::Duration = time::Duration::from_millis(137);

/// Models asked for alone.
const LONE_MODELS: usize = 20;

/// Models asked for at once.
const BURST_MODELS: usize = 10;

/// Adapters asked for beside each loaded base model that has any.
const ADAPTERS_A_MODEL: usize = 2;

/// Milliseconds of a second.
const MILLIS: f64 = 1e3;

/// Reads one part of a cold start.
type PartReader = fn(&ColdStart) -> time::Duration;

type AnyError = Box<dyn error::Error + Send + Sync>;

fn main() -> process::ExitCode {
    // The example starts itself as the instances, so that it needs nothing built beside it.
    if env::args().nth(1).as_deref() == Some("serve") {
        return galenahold::run_command_line(env::args_os());
    }
    match measure() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<(), AnyError> {
    let file = env::args().nth(1);
    let file = file.unwrap_or_else(|| "deployments/pamoja.json".to_owned());
    let deployment = deployment::FleetDeployment::read(path::Path::new(&file))?;
    let fleet = ColdFleet::start(&deployment)?;
    fleet.measure_lone()?;
    fleet.measure_burst()?;
    fleet.report_whole();
    Ok(())
}

/// A fleet whose models are all cold, and one engine that the fleet does not know.
struct ColdFleet<'a> {
    deployment: &'a deployment::FleetDeployment,
    servers: deployment::StandInFleet,
    bare: engine::EngineProcess,
    fleet: harness::InstanceFleet,
    key: String,
}

/// The parts of one cold start.
#[derive(Debug, Clone, Copy)]
struct ColdStart {
    /// From the request to the order at the engine.
    decide: time::Duration,
    /// The load at the engine.
    load: time::Duration,
    /// From the end of the load to the request at the engine.
    notice: time::Duration,
    /// From the request at the engine to its whole answer of one token.
    answer: time::Duration,
    /// From the request to its whole answer of one token.
    whole: time::Duration,
}

impl<'a> ColdFleet<'a> {
    fn start(deployment: &'a deployment::FleetDeployment) -> Result<Self, AnyError> {
        let control = deployment.control_instances;
        let fleet = harness::FleetBuilder::default()
            .binary(&env::current_exe()?)
            .control(control)
            .entries(deployment.instances - control)
            .settings(&json!({ "timing": { "notice_ms": 0 } }))
            .start_ready(READY_LIMIT)?;
        let servers = deployment::StandInFleet::start(deployment, &fleet.backends(), false)?;
        let operator = fleet.operator();
        operator.state_intent(&deployment.intent())?;
        let key = operator.give_key(&deployment.teams[0].name)?.key;
        let bare_store = sync::Arc::new(store::WeightStore::new(deployment.store.clone()));
        let bare = engine::EngineBuilder::new("bare")
            .memory_bytes(u64::MAX / 2)
            .timings(deployment.engines.timings.clone())
            .store(store::StoreTarget::Shared(bare_store))
            .start()?;
        // Announcements and the intent reach every instance.
        thread::sleep(time::Duration::from_secs(4));
        Ok(Self {
            deployment,
            servers,
            bare,
            fleet,
            key,
        })
    }

    /// Measures models alone, and adapters right after their base models.
    fn measure_lone(&self) -> Result<(), AnyError> {
        let (mut models, mut adapters) = (Vec::new(), Vec::new());
        let (mut ratios, mut bares, mut added) = (Vec::new(), Vec::new(), Vec::new());
        for (round, model) in self.deployment.models.iter().take(LONE_MODELS).enumerate() {
            thread::sleep(PAUSE);
            let (bare, start) = thread::scope(|scope| {
                let bare = scope.spawn(|| self.bare_load(&model.name, model.bytes));
                let start = self.cold_start(round, &model.name);
                (bare.join(), start)
            });
            let bare = bare.map_err(|_| "the bare load panicked")??;
            let start = start?;
            ratios.push(start.whole.as_secs_f64() / bare.as_secs_f64());
            bares.push(bare.as_secs_f64() * MILLIS);
            models.push(start);
            for adapter in model.adapters.iter().take(ADAPTERS_A_MODEL) {
                thread::sleep(PAUSE);
                let start = match self.cold_start(round + adapters.len(), &adapter.name) {
                    Ok(start) => start,
                    Err(error) => {
                        println!("  failed: {error}");
                        continue;
                    }
                };
                let path = start.decide + start.notice;
                added.push(path.as_secs_f64() * MILLIS);
                adapters.push(start);
            }
        }
        let name = &self.deployment.name;
        println!("{name}: {} lone cold models", models.len());
        print_quantiles("  ratio to the bare load", &mut ratios);
        print_quantiles("  bare load ms", &mut bares);
        print_parts(&models);
        println!(
            "{name}: {} adapters beside loaded base models",
            adapters.len()
        );
        print_quantiles("  added to load and answer ms", &mut added);
        print_parts(&adapters);
        Ok(())
    }

    fn measure_burst(&self) -> Result<(), AnyError> {
        let models = self.deployment.models.iter().skip(LONE_MODELS);
        let models: Vec<_> = models.take(BURST_MODELS).collect();
        let ideal = shortest_schedule(
            &self.deployment.store,
            models.iter().map(|model| model.bytes),
        );
        let begun = time::Instant::now();
        let instances = self.fleet.callers().len();
        // Each model is asked for at every instance.
        let ends: Vec<time::Duration> = thread::scope(|scope| {
            let asked: Vec<_> = models
                .iter()
                .flat_map(|model| (0..instances).map(move |instance| (instance, &model.name)))
                .map(|(instance, name)| {
                    scope.spawn(move || {
                        self.ask(instance, name)?;
                        Ok::<_, AnyError>(begun.elapsed())
                    })
                })
                .collect();
            asked
                .into_iter()
                .map(|asked| asked.join().map_err(|_| "a caller panicked")?)
                .collect::<Result<Vec<_>, AnyError>>()
        })?;
        let last = ends.iter().max().copied().unwrap_or_default();
        println!(
            "{}: burst of {} models, {} requests",
            self.deployment.name,
            models.len(),
            ends.len()
        );
        println!(
            "  last first token {:.2} s, lower bound {:.2} s, ratio {:.3}",
            last.as_secs_f64(),
            ideal,
            last.as_secs_f64() / ideal
        );
        let orders: Vec<_> = models
            .iter()
            .map(|model| self.load_orders(&model.name))
            .collect();
        println!("  load orders per model {orders:?}");
        Ok(())
    }

    fn report_whole(&self) {
        let over: u64 = self
            .ledgers()
            .iter()
            .map(ledger::LedgerSnapshot::overcommitted_bytes)
            .sum();
        let counts = self.servers.store().counts();
        println!(
            "{}: peak memory over capacity {over} bytes, store: {} loads, at most {} at once",
            self.deployment.name, counts.loads_started, counts.peak_loads_in_flight
        );
    }

    /// Asks for a cold model or adapter and reads its parts from the engine's ledger.
    fn cold_start(&self, round: usize, name: &str) -> Result<ColdStart, AnyError> {
        let asked_us = unix_micros()?;
        let begun = time::Instant::now();
        let instance = round % self.fleet.callers().len();
        self.ask(instance, name)?;
        let whole = begun.elapsed();
        let ledgers = self.ledgers();
        let order = ledgers
            .iter()
            .flat_map(|ledger| &ledger.placements)
            .find(|order| order.model == name)
            .ok_or("no engine was told to load it")?;
        let request = ledgers
            .iter()
            .flat_map(|ledger| &ledger.requests)
            .rfind(|request| request.model == name)
            .ok_or("no engine answered it")?;
        let ended_us = order.ended_us.ok_or("the load has not ended")?;
        let answered_us = asked_us + u64::try_from(whole.as_micros())?;
        let between = |from: u64, to: u64| time::Duration::from_micros(to.saturating_sub(from));
        Ok(ColdStart {
            decide: between(asked_us, order.received_us),
            load: between(order.received_us, ended_us),
            notice: between(ended_us, request.started_us),
            answer: between(request.started_us, answered_us),
            whole,
        })
    }

    fn ask(&self, instance: usize, name: &str) -> Result<(), AnyError> {
        let address = self.fleet.callers()[instance];
        let caller = harness::FleetCaller::new(address).key(&self.key);
        let answer = caller.chat(name, "flood mark", 1, false)?;
        if answer.status == 200 {
            return Ok(());
        }
        Err(format!("{name}: {} {}", answer.status, answer.body).into())
    }

    /// Returns how long an engine outside the fleet takes to load.
    fn bare_load(&self, name: &str, bytes: u64) -> Result<time::Duration, AnyError> {
        let begun = time::Instant::now();
        let address: net::SocketAddr = self.bare.address();
        let body = json!({ "parameters": { "version": "1", "bytes": bytes, "order": 1 } });
        let path = format!("/v2/repository/models/{name}/load");
        let answer = harness::FleetCaller::new(address).post(&path, &body)?;
        if answer.status == 200 {
            return Ok(begun.elapsed());
        }
        Err(format!("{name}: bare load answered {}", answer.status).into())
    }

    fn load_orders(&self, name: &str) -> usize {
        self.ledgers()
            .iter()
            .flat_map(|ledger| &ledger.placements)
            .filter(|order| order.kind == ledger::PlacementKind::LoadModel && order.model == name)
            .count()
    }

    fn ledgers(&self) -> Vec<ledger::LedgerSnapshot> {
        let engines = self.servers.engines().iter();
        engines.map(engine::EngineProcess::ledger).collect()
    }
}

/// Returns a lower bound of the seconds in which the store can load all: its full-speed lanes begin one
/// after the other at its pace and never idle, and the last load to start is the shortest.
fn shortest_schedule(store: &store::StoreSettings, bytes: impl Iterator<Item = u64>) -> f64 {
    let loads: Vec<_> = bytes
        .map(|bytes| megabytes(bytes) / megabytes(store.bytes_per_second))
        .collect();
    let lanes = u32::try_from(store.full_speed_loads).unwrap_or(u32::MAX);
    let starts = u32::try_from(loads.len()).unwrap_or(u32::MAX);
    let stagger: f64 = (0..lanes)
        .map(|lane| f64::from(lane) / store.starts_per_second)
        .sum();
    let by_speed = (loads.iter().sum::<f64>() + stagger) / f64::from(lanes);
    let shortest = loads.iter().copied().fold(f64::INFINITY, f64::min);
    let by_starts = f64::from(starts.saturating_sub(1)) / store.starts_per_second + shortest;
    by_speed.max(by_starts)
}

fn megabytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes / 1_000_000).unwrap_or(u32::MAX))
}

fn print_parts(starts: &[ColdStart]) {
    let parts: [(&str, PartReader); 5] = [
        ("  request to order ms", |start| start.decide),
        ("  load ms", |start| start.load),
        ("  loaded to request ms", |start| start.notice),
        ("  answer ms", |start| start.answer),
        ("  whole ms", |start| start.whole),
    ];
    for (label, part) in parts {
        let mut values: Vec<_> = starts
            .iter()
            .map(|start| part(start).as_secs_f64() * MILLIS)
            .collect();
        print_quantiles(label, &mut values);
    }
}

/// Prints nearest-rank quantiles.
fn print_quantiles(label: &str, values: &mut [f64]) {
    values.sort_by(f64::total_cmp);
    let at = |percent: usize| {
        let rank = (values.len() * percent).div_ceil(100).max(1);
        values.get(rank - 1).copied().unwrap_or_default()
    };
    println!(
        "{label}: p50 {:.3} p95 {:.3} p99 {:.3}",
        at(50),
        at(95),
        at(99)
    );
}

fn unix_micros() -> Result<u64, AnyError> {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH)?;
    Ok(u64::try_from(since.as_micros())?)
}
