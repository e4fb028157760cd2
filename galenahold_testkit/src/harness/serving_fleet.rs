//! A fleet that serves.

use std::net;
use std::time;

use super::{FleetCaller, InstanceFleet, OperatorClient, wait_within};
use crate::engine;
use crate::service;

/// The model that every engine of the fleet holds.
pub const SERVED_MODEL: &str = "alama-llm";
/// The plain service that every server of the fleet belongs to; its path prefix is `/foundry`.
pub const SERVED_SERVICE: &str = "foundry-desk";
/// How long anything that a test waits for may take.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_mins(1);

/// Holds instances, engines and plain servers that serve one team.
#[derive(Debug)]
pub struct ServingFleet {
    pub(super) instances: InstanceFleet,
    pub(super) engines: Vec<engine::EngineProcess>,
    pub(super) services: Vec<service::ServiceProcess>,
    pub(super) key: String,
}

impl ServingFleet {
    /// Returns the instances.
    #[must_use]
    pub fn instances(&self) -> &InstanceFleet {
        &self.instances
    }

    /// Returns the instances to kill, start and wait for.
    pub fn instances_mut(&mut self) -> &mut InstanceFleet {
        &mut self.instances
    }

    /// Returns the engines.
    #[must_use]
    pub fn engines(&self) -> &[engine::EngineProcess] {
        &self.engines
    }

    /// Returns the engines to restart.
    pub fn engines_mut(&mut self) -> &mut [engine::EngineProcess] {
        &mut self.engines
    }

    /// Returns the plain servers.
    #[must_use]
    pub fn services(&self) -> &[service::ServiceProcess] {
        &self.services
    }

    /// Returns the plain servers to restart.
    pub fn services_mut(&mut self) -> &mut [service::ServiceProcess] {
        &mut self.services
    }

    /// Returns the team's key.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns an operator.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        self.instances.operator()
    }

    /// Returns where an instance takes callers' requests.
    #[must_use]
    pub fn address(&self, instance: usize) -> net::SocketAddr {
        self.instances.instances()[instance].addresses().callers
    }

    /// Returns a caller with the team's key at an instance.
    #[must_use]
    pub fn caller(&self, instance: usize) -> FleetCaller {
        FleetCaller::new(self.address(instance)).key(&self.key)
    }

    /// Returns how often an order ran at all plain servers together.
    #[must_use]
    pub fn runs(&self, order: &str) -> u64 {
        let servers = self.services.iter();
        servers.map(|server| server.ledger().runs(order)).sum()
    }

    /// Returns which instance leads the control group, by the instances' own word.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let operator = self.operator();
        let instances = self.instances.instances().iter();
        let mut running = instances.filter(|instance| instance.id().is_some());
        let leader = running.find_map(|instance| {
            let address = instance.addresses().operators;
            let answer = operator.call(address, "/v1/status", None).ok()?;
            answer.body["leader"].as_str().map(str::to_owned)
        })?;
        let mut instances = self.instances.instances().iter();
        instances.position(|instance| instance.name() == leader)
    }
}

/// Waits until something holds, at most [`WAIT_LIMIT`].
///
/// # Panics
///
/// Panics with `what` when it does not hold in time.
pub fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_within(what, WAIT_LIMIT, holds);
}
