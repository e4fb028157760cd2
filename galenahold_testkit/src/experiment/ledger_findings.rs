//! What the ledgers say about the promises.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::deployment;
use crate::engine;
use crate::ledger;
use crate::service;

/// Figures from the ledgers of all stand-ins; the first five are zero while promises hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerFindings {
    /// The most bytes by which an engine's memory was overcommitted.
    pub overcommitted_bytes: u64,
    /// Models of which more replicas were held at once than the intent admits.
    pub models_over_limit: Vec<String>,
    /// Orders that ran more than once.
    pub orders_run_again: u64,
    /// Requests that showed a caller's key to a backend server.
    pub requests_with_key: u64,
    /// Requests refused by engines because their model was not ready.
    pub requests_misrouted: u64,
    /// Loads that engines began.
    pub loads: u64,
    /// Base model loads that the weight store handed out.
    pub store_loads: u64,
    /// The most of these in flight at once.
    pub peak_store_loads_in_flight: u64,
    /// Microseconds of whole accelerators taken by models.
    pub held_accelerator_us: u64,
    /// Microseconds of whole accelerators taken by models without a request.
    pub idle_accelerator_us: u64,
}

impl LedgerFindings {
    /// Reads the ledgers of a fleet.
    #[must_use]
    pub fn read<'a>(
        deployment: &deployment::FleetDeployment,
        fleet: &deployment::StandInFleet,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let now_us = ledger::unix_micros();
        let engines: Vec<_> = fleet
            .engines()
            .iter()
            .map(engine::EngineProcess::ledger)
            .collect();
        let services = fleet.services().iter().map(service::ServiceProcess::ledger);
        let services: Vec<_> = services.collect();
        let keys: Vec<_> = keys.into_iter().collect();
        let all = || engines.iter().chain(&services);
        let overcommitted = engines
            .iter()
            .map(ledger::LedgerSnapshot::overcommitted_bytes);
        let uses = engines
            .iter()
            .map(|engine| ledger::ReplicaUse::of(engine, now_us));
        let uses: Vec<_> = uses.collect();
        let refused = engines
            .iter()
            .map(|engine| engine.count(ledger::RequestOutcome::Refused) as u64);
        let counts = fleet.store().counts();
        Self {
            overcommitted_bytes: overcommitted.max().unwrap_or_default(),
            models_over_limit: models_over_limit(deployment, &engines),
            orders_run_again: orders_run_again(&services),
            requests_with_key: all().map(|ledger| requests_with_key(ledger, &keys)).sum(),
            requests_misrouted: refused.sum(),
            loads: engines.iter().map(loads_of).sum(),
            store_loads: counts.loads_started,
            peak_store_loads_in_flight: counts.peak_loads_in_flight,
            held_accelerator_us: uses.iter().map(|used| used.held_us).sum(),
            idle_accelerator_us: uses.iter().map(|used| used.idle_us).sum(),
        }
    }
}

fn models_over_limit(
    deployment: &deployment::FleetDeployment,
    engines: &[ledger::LedgerSnapshot],
) -> Vec<String> {
    let over = deployment.models.iter().filter(|model| {
        let peak = ledger::LedgerSnapshot::peak_replicas(engines, &model.name);
        peak > u64::from(model.max_replicas)
    });
    over.map(|model| model.name.clone()).collect()
}

/// Counts the orders that ran more than once on all servers together.
fn orders_run_again(services: &[ledger::LedgerSnapshot]) -> u64 {
    let mut runs = collections::BTreeMap::new();
    for order in services.iter().flat_map(|service| &service.orders) {
        *runs.entry(order.order.as_str()).or_insert(0) += order.runs;
    }
    runs.values().filter(|&&runs| runs > 1).count() as u64
}

fn requests_with_key(ledger: &ledger::LedgerSnapshot, keys: &[&str]) -> u64 {
    let shown = ledger
        .requests
        .iter()
        .filter(|request| keys.iter().any(|key| request.mentions(key)));
    shown.count() as u64
}

fn loads_of(engine: &ledger::LedgerSnapshot) -> u64 {
    let loads = engine.placements.iter().filter(|placement| {
        matches!(
            placement.kind,
            ledger::PlacementKind::LoadModel | ledger::PlacementKind::LoadAdapter
        )
    });
    loads.count() as u64
}
