//! The fleet that the tests of placement use.

use std::sync;
use std::thread;
use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::ledger;
use galenahold_testkit::{engine, store};
use serde_json::{Value, json};

/// How long anything that is waited for may take.
pub(crate) const LIMIT: time::Duration = time::Duration::from_mins(1);

/// Memory of each engine, in bytes.
pub(crate) const ENGINE_BYTES: u64 = 10_000_000;

/// Memory that each model takes, in bytes: two of them fit one engine.
pub(crate) const MODEL_BYTES: u64 = 4_000_000;

/// Memory that each adapter takes, in bytes: two models with an adapter each fill an engine.
pub(crate) const ADAPTER_BYTES: u64 = 1_000_000;

/// Bytes a second of one fetch from the weight store: a load takes about a second.
const FETCH_BYTES_PER_SECOND: u64 = 4_000_000;

/// How often engines announce themselves, and how long an announcement counts.
#[derive(Debug, Clone, Copy)]
struct AnnouncePace {
    interval_ms: u64,
    ttl_ms: u64,
}

/// The pace of most tests.
const USUAL_PACE: AnnouncePace = AnnouncePace {
    interval_ms: 200,
    ttl_ms: 3_000,
};

/// The second announcement comes after the deadline of 30 s of a request.
const RARE_PACE: AnnouncePace = AnnouncePace {
    interval_ms: 90_000,
    ttl_ms: 300_000,
};

/// Lets one fleet run at a time, so that they do not starve each other of processor time.
static FLEETS: sync::Mutex<()> = sync::Mutex::new(());

/// A fleet with engines whose loads go through one weight store.
pub(crate) struct PlacementFleet {
    /// The instances; the first three are the control group.
    pub(crate) fleet: harness::InstanceFleet,
    /// The engines.
    pub(crate) engines: Vec<engine::EngineProcess>,
    /// A key of the team.
    pub(crate) key: String,
    _turn: sync::MutexGuard<'static, ()>,
}

impl PlacementFleet {
    /// Starts three control instances, one entry instance and engines.
    pub(crate) fn start(engines: usize, models: usize, checks_fencing: bool) -> Self {
        Self::start_intent(engines, &intent(models, 0), checks_fencing, USUAL_PACE)
    }

    /// Starts a fleet whose models have adapters.
    pub(crate) fn start_with_adapters(engines: usize, models: usize, adapters: usize) -> Self {
        Self::start_intent(engines, &intent(models, adapters), false, USUAL_PACE)
    }

    /// Starts a fleet whose engines announce themselves once and then not before a request's deadline.
    pub(crate) fn start_rarely_announced(engines: usize, models: usize) -> Self {
        Self::start_intent(engines, &intent(models, 0), false, RARE_PACE)
    }

    fn start_intent(
        engines: usize,
        intent: &Value,
        checks_fencing: bool,
        pace: AnnouncePace,
    ) -> Self {
        let turn = take_turn();
        let fleet = harness::FleetBuilder::default()
            .control(3)
            .entries(1)
            .settings(&json!({
                "timing": {
                    "notice_ms": 0, "election_timeout_ms": 400, "heartbeat_ms": 60,
                    "announcement_ttl_ms": pace.ttl_ms,
                },
                "placement": { "load_timeout_s": 5 },
            }))
            .start_ready(LIMIT)
            .expect("the fleet starts");
        let store = sync::Arc::new(store::WeightStore::new(store_settings()));
        let engines = (0..engines)
            .map(|number| start_engine(number, &fleet, &store, checks_fencing, pace))
            .collect();
        let operator = fleet.operator();
        operator.state_intent(intent).expect("the intent is valid");
        let key = operator
            .give_key("councils")
            .expect("the team is known")
            .key;
        let started = Self {
            fleet,
            engines,
            key,
            _turn: turn,
        };
        started.wait_keyed();
        started
    }

    /// Returns a caller with the key at an instance.
    pub(crate) fn caller(&self, instance: usize) -> harness::FleetCaller {
        harness::FleetCaller::new(self.fleet.callers()[instance]).key(&self.key)
    }

    /// Copies all engines' ledgers.
    pub(crate) fn ledgers(&self) -> Vec<ledger::LedgerSnapshot> {
        self.engines
            .iter()
            .map(engine::EngineProcess::ledger)
            .collect()
    }

    /// Counts the load orders that engines received for a model or an adapter.
    pub(crate) fn load_orders(&self, model: &str) -> usize {
        self.ledgers()
            .iter()
            .flat_map(|ledger| &ledger.placements)
            .filter(|placement| {
                let is_load = matches!(
                    placement.kind,
                    ledger::PlacementKind::LoadModel | ledger::PlacementKind::LoadAdapter
                );
                is_load && placement.model == model
            })
            .count()
    }

    /// Takes an adapter out of the first engine behind the fleet's back.
    pub(crate) fn drop_adapter(&self, adapter: &str) {
        let engine = harness::FleetCaller::new(self.engines[0].address());
        let body = json!({ "lora_name": adapter });
        let answer = engine
            .post("/v1/unload_lora_adapter", &body)
            .expect("the engine answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Checks that no engine ever held more than its memory.
    pub(crate) fn assert_memory_held(&self) {
        for ledger in self.ledgers() {
            assert_eq!(ledger.overcommitted_bytes(), 0, "{}", ledger.name);
        }
    }

    /// Returns the place of the leader among the instances.
    pub(crate) fn leader(&self) -> usize {
        let operator = self.fleet.operator();
        let mut found = None;
        wait_until("a leader is known", || {
            found = operator
                .call_any("/v1/status", None)
                .ok()
                .and_then(|status| status["leader"].as_str().map(str::to_owned))
                .and_then(|leader| {
                    let instances = self.fleet.instances();
                    instances
                        .iter()
                        .position(|instance| instance.name() == leader)
                });
            found.is_some()
        });
        found.expect("a leader was found")
    }

    /// Waits until each instance takes the key.
    fn wait_keyed(&self) {
        for instance in 0..self.fleet.instances().len() {
            wait_until("an instance takes the key", || {
                let listed = self.caller(instance).get("/v1/models");
                listed.is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}

/// Waits until no other fleet of this binary runs.
pub(crate) fn take_turn() -> sync::MutexGuard<'static, ()> {
    FLEETS.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Asks a model in the background.
pub(crate) fn ask(
    caller: harness::FleetCaller,
    model: &str,
    text: &str,
) -> thread::JoinHandle<harness::CallerAnswer> {
    let (model, text) = (model.to_owned(), text.to_owned());
    thread::spawn(move || {
        caller
            .chat(&model, &text, 3, false)
            .expect("an answer comes")
    })
}

/// Waits until something holds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + LIMIT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

fn start_engine(
    number: usize,
    fleet: &harness::InstanceFleet,
    store: &sync::Arc<store::WeightStore>,
    checks_fencing: bool,
    pace: AnnouncePace,
) -> engine::EngineProcess {
    engine::EngineBuilder::new(&format!("engine-{number}"))
        .instances(&fleet.backends())
        .announce_interval_ms(pace.interval_ms)
        .memory_bytes(ENGINE_BYTES)
        .checks_fencing(checks_fencing)
        .store(store::StoreTarget::Shared(sync::Arc::clone(store)))
        .start()
        .expect("the engine starts")
}

fn store_settings() -> store::StoreSettings {
    store::StoreSettings {
        bytes_per_second: FETCH_BYTES_PER_SECOND,
        ..store::StoreSettings::default()
    }
}

/// Returns the name of an adapter of a model.
pub(crate) fn adapter_name(model: usize, number: usize) -> String {
    format!("adapter-{model}-{number}")
}

/// Names the models `model-0`, `model-1` and so on.
fn intent(models: usize, adapters: usize) -> Value {
    let names: Vec<String> = (0..models)
        .map(|number| format!("model-{number}"))
        .collect();
    let models: Vec<Value> = names
        .iter()
        .enumerate()
        .map(|(model, name)| {
            let adapters: Vec<_> = (0..adapters)
                .map(
                    |number| json!({ "name": adapter_name(model, number), "bytes": ADAPTER_BYTES }),
                )
                .collect();
            json!({
                "name": name, "version": "1", "bytes": MODEL_BYTES, "max_replicas": 1,
                "adapters": adapters,
            })
        })
        .collect();
    json!({
        "teams": [{
            "name": "councils", "rate_tokens_per_s": 1_000_000, "burst_tokens": 4_000_000,
        }],
        "models": models,
        "services": [
            { "name": "drafts", "kind": "models", "models": names, "teams": ["councils"] },
        ],
    })
}
