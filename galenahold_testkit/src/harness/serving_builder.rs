//! The way to start a fleet that serves.

use serde_json::{Value, json};

use super::serving_fleet::{SERVED_MODEL, SERVED_SERVICE, WAIT_LIMIT, wait_until};
use super::{FleetBuilder, ServingFleet};
use crate::engine;
use crate::service;
use crate::testkit_error::TestkitError;

/// The team that the fleet serves.
const TEAM: &str = "councils";
/// Bytes of the served model.
const MODEL_BYTES: u64 = 1_000;
/// Milliseconds between announcements.
const ANNOUNCE_INTERVAL_MS: u64 = 200;

/// Collects what a serving fleet is like and starts it.
#[derive(Debug, Clone)]
pub struct ServingBuilder {
    instances: FleetBuilder,
    engines: usize,
    services: usize,
    timings: engine::EngineTimings,
    call_us: u64,
    announce_to: Vec<usize>,
    rate_tokens_per_s: u64,
    burst_tokens: u64,
    teams: Vec<String>,
}

impl Default for ServingBuilder {
    fn default() -> Self {
        Self {
            instances: FleetBuilder::default(),
            engines: 0,
            services: 0,
            timings: engine::EngineTimings::default(),
            call_us: 1_000,
            announce_to: Vec::new(),
            rate_tokens_per_s: 1_000_000,
            burst_tokens: 10_000_000,
            teams: vec![TEAM.to_owned()],
        }
    }
}

impl ServingBuilder {
    /// Sets the instances.
    #[must_use]
    pub fn instances(mut self, instances: FleetBuilder) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the number of engines; each has the model ready.
    #[must_use]
    pub fn engines(mut self, count: usize, timings: engine::EngineTimings) -> Self {
        self.engines = count;
        self.timings = timings;
        self
    }

    /// Sets the number of plain servers and the microseconds that a call takes there.
    #[must_use]
    pub fn services(mut self, count: usize, call_us: u64) -> Self {
        self.services = count;
        self.call_us = call_us;
        self
    }

    /// Lets backend servers announce themselves only to these instances.
    #[must_use]
    pub fn announce_to(mut self, instances: &[usize]) -> Self {
        self.announce_to = instances.to_vec();
        self
    }

    /// Sets each team's rate and burst in tokens.
    #[must_use]
    pub fn rate(mut self, tokens_per_s: u64, burst: u64) -> Self {
        self.rate_tokens_per_s = tokens_per_s;
        self.burst_tokens = burst;
        self
    }

    /// Adds a team beside the first one.
    #[must_use]
    pub fn team(mut self, name: &str) -> Self {
        self.teams.push(name.to_owned());
        self
    }

    /// Starts everything and waits until each instance reaches each kind of backend server.
    ///
    /// # Errors
    ///
    /// Fails when a part cannot be started.
    ///
    /// # Panics
    ///
    /// Panics when the fleet does not serve in time.
    pub fn start(self) -> Result<ServingFleet, TestkitError> {
        let instances = self.instances.start_ready(WAIT_LIMIT)?;
        let backends = instances.backends();
        let told: Vec<_> = if self.announce_to.is_empty() {
            backends
        } else {
            let told = self.announce_to.iter();
            told.map(|instance| backends[*instance]).collect()
        };
        let engines = (1..=self.engines).map(|number| {
            engine::EngineBuilder::new(&format!("engine-{number}"))
                .instances(&told)
                .announce_interval_ms(ANNOUNCE_INTERVAL_MS)
                .timings(self.timings.clone())
                .model(SERVED_MODEL, "1", MODEL_BYTES)
                .start()
        });
        let services = (1..=self.services).map(|number| {
            service::ServiceBuilder::new(&format!("desk-{number}"), SERVED_SERVICE)
                .instances(&told)
                .announce_interval_ms(ANNOUNCE_INTERVAL_MS)
                .call_us(self.call_us)
                .start()
        });
        let (engines, services) = (
            engines.collect::<Result<Vec<_>, _>>()?,
            services.collect::<Result<Vec<_>, _>>()?,
        );
        let operator = instances.operator();
        operator.state_intent(&self.intent())?;
        let key = operator.give_key(TEAM)?.key;
        let fleet = ServingFleet {
            instances,
            engines,
            services,
            key,
        };
        self.wait_served(&fleet);
        Ok(fleet)
    }

    fn wait_served(&self, fleet: &ServingFleet) {
        for instance in 0..fleet.instances().instances().len() {
            let caller = fleet.caller(instance);
            if self.services > 0 {
                wait_until("an instance reaches the plain service", || {
                    let read = caller.get("/foundry/records/warm");
                    read.is_ok_and(|answer| answer.status == 200)
                });
            }
            if self.engines > 0 {
                wait_until("an instance reaches the model", || {
                    let chat = caller.chat(SERVED_MODEL, "warm", 1, false);
                    chat.is_ok_and(|answer| answer.status == 200)
                });
            }
        }
    }

    fn intent(&self) -> Value {
        let teams: Vec<_> = self
            .teams
            .iter()
            .map(|name| {
                json!({
                    "name": name,
                    "rate_tokens_per_s": self.rate_tokens_per_s,
                    "burst_tokens": self.burst_tokens,
                })
            })
            .collect();
        json!({
            "teams": teams,
            "models": [{
                "name": SERVED_MODEL, "version": "1", "bytes": MODEL_BYTES,
                "max_replicas": self.engines.max(1),
            }],
            "services": [
                { "name": "drafts", "kind": "models", "models": [SERVED_MODEL], "teams": self.teams },
                {
                    "name": SERVED_SERVICE, "kind": "plain", "path_prefix": "/foundry",
                    "teams": self.teams,
                },
            ],
        })
    }
}
