//! Fixture: engines with memory for two models and two adapters.

use std::net;
use std::time;

use galenahold_domain::{amount, declaration, fleet as domain, name};
use galenahold_placement::fleet;

pub(crate) const WEIGHTS: u64 = 100;

pub(crate) fn service() -> name::ServiceName {
    name::ServiceName::from("models")
}

pub(crate) fn model_name(name: &str) -> name::ModelName {
    name::ModelName::from(name)
}

pub(crate) fn model(name: &str) -> declaration::DeclaredModel {
    declaration::DeclaredModel {
        name: model_name(name),
        weights: amount::ByteCount(WEIGHTS),
        adapter: amount::ByteCount(1),
        adapters: Vec::new(),
        store_load: time::Duration::from_secs(6),
        disk_load: time::Duration::from_secs(2),
        memory_load: time::Duration::from_secs(1),
    }
}

pub(crate) fn engine() -> declaration::DeclaredEngine {
    declaration::DeclaredEngine {
        slots: 8,
        cache_tokens: amount::TokenCount(1_000),
        weight_memory: amount::ByteCount(2 * WEIGHTS + 2),
        adapter_slots: 2,
        store_loads_per_s: 4.0,
        tokens_per_event: 1,
        models: ["a", "b", "c", "d"].map(model).into(),
    }
}

pub(crate) fn record(server: &str, models: &[&str], on_disk: &[&str]) -> domain::ServerRecord {
    let host = server.bytes().last().unwrap_or_default();
    let notice = domain::ServerNotice {
        name: name::ServerName::from(server),
        started_ms: 1,
        sequence: 1,
        service: service(),
        address: net::SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: name::DataCentreName::from("one"),
        slots: 8,
        stage: domain::ServerStage::Ready,
        removal_in: None,
        models: models.iter().map(|name| held(name)).collect(),
        adapters: Vec::new(),
        copies: domain::WeightCopies::new(
            Vec::new(),
            on_disk.iter().map(|name| model_name(name)).collect(),
        ),
    };
    domain::ServerRecord::from(notice)
}

fn held(name: &str) -> domain::HeldModel {
    domain::HeldModel {
        name: model_name(name),
        version: 1,
        retiring: false,
    }
}

pub(crate) fn adapter(model: &str, adapter: &str) -> domain::HeldAdapter {
    domain::HeldAdapter {
        model: model_name(model),
        adapter: name::AdapterName::from(adapter),
    }
}

/// Reports one waiting request for the model.
pub(crate) fn report_waiting(planner: &mut fleet::FleetPlanner, model: &str, now: time::Instant) {
    report(planner, model, 1, now);
}

/// Reports one request for the model that was placed at once.
pub(crate) fn report_request(planner: &mut fleet::FleetPlanner, model: &str, now: time::Instant) {
    report(planner, model, 0, now);
}

fn report(planner: &mut fleet::FleetPlanner, model: &str, waiting: u32, now: time::Instant) {
    let counts = fleet::DemandCounts {
        arrivals: 1,
        waiting,
        running: 0,
        waiting_calls: Vec::new(),
    };
    let key = (service(), model_name(model));
    planner.record_demand(&name::InstanceName::from("entry"), key, counts, now);
}

pub(crate) fn plan(
    planner: &mut fleet::FleetPlanner,
    records: &[domain::ServerRecord],
    now: time::Instant,
) -> fleet::PlanStep {
    planner.plan(&service(), &engine(), records.iter(), now)
}

pub(crate) fn actions(step: &fleet::PlanStep) -> Vec<(String, fleet::OrderAction)> {
    step.orders
        .iter()
        .map(|order| (order.server.to_string(), order.action.clone()))
        .collect()
}

pub(crate) fn load(server: &str, model: &str) -> (String, fleet::OrderAction) {
    (
        server.to_owned(),
        fleet::OrderAction::LoadModel(model_name(model)),
    )
}
