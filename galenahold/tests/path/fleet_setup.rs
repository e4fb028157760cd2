//! The fleet that the tests of the whole path use.

use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::{engine, service};
use serde_json::{Value, json};

/// How long anything that is waited for may take.
pub(crate) const LIMIT: time::Duration = time::Duration::from_mins(1);

/// A fleet with one engine that holds a model, and one plain service.
pub(crate) struct PathFleet {
    /// The instances.
    pub(crate) fleet: harness::InstanceFleet,
    /// The engine.
    pub(crate) engine: engine::EngineProcess,
    /// The plain service.
    pub(crate) service: service::ServiceProcess,
    /// A key of the team.
    pub(crate) key: String,
}

impl PathFleet {
    /// Starts three control instances and one entry instance, and waits until they route.
    pub(crate) fn start(timings: engine::EngineTimings) -> Self {
        let fleet = harness::FleetBuilder::default()
            .control(3)
            .entries(1)
            .settings(&json!({ "timing": { "notice_ms": 300, "drain_ms": 30_000 } }))
            .start_ready(LIMIT)
            .expect("the fleet starts");
        let engine = engine::EngineBuilder::new("engine-1")
            .instances(&fleet.backends())
            .announce_interval_ms(200)
            .timings(timings)
            .model("alama-llm", "1", 1_000)
            .start()
            .expect("the engine starts");
        let service = service::ServiceBuilder::new("desk-1", "foundry-desk")
            .instances(&fleet.backends())
            .announce_interval_ms(200)
            .start()
            .expect("the service starts");
        let operator = fleet.operator();
        operator
            .state_intent(&intent())
            .expect("the intent is valid");
        let key = operator
            .give_key("councils")
            .expect("the team is known")
            .key;
        let started = Self {
            fleet,
            engine,
            service,
            key,
        };
        started.wait_routed();
        started
    }

    /// Returns a caller with the key at an instance.
    pub(crate) fn caller(&self, instance: usize) -> harness::FleetCaller {
        harness::FleetCaller::new(self.fleet.callers()[instance]).key(&self.key)
    }

    /// Waits until each instance takes the key and reaches model and service.
    fn wait_routed(&self) {
        for instance in 0..self.fleet.instances().len() {
            wait_until("an instance answers", || {
                let read = self.caller(instance).get("/foundry/records/1");
                read.is_ok_and(|answer| answer.status == 200)
            });
            wait_until("an instance reaches the model", || {
                let chat = self.caller(instance).chat("alama-llm", "warm", 1, false);
                chat.is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}

/// Waits until something holds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + LIMIT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(time::Duration::from_millis(20));
    }
}

fn intent() -> Value {
    json!({
        "teams": [{ "name": "councils", "rate_tokens_per_s": 100_000, "burst_tokens": 400_000 }],
        "models": [{ "name": "alama-llm", "version": "1", "bytes": 1_000, "max_replicas": 1 }],
        "services": [
            { "name": "drafts", "kind": "models", "models": ["alama-llm"], "teams": ["councils"] },
            {
                "name": "foundry-desk", "kind": "plain", "path_prefix": "/foundry",
                "teams": ["councils"],
            },
        ],
    })
}
