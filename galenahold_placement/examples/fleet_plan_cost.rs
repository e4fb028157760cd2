//! Measures how long one planning round of the declared fleet takes at several fleet sizes, while
//! one model in twelve is waited for and no engine holds it.

use std::net;
use std::time;

use galenahold_domain::{amount, declaration, fleet as domain, name};
use galenahold_placement::fleet;

const ROUNDS: u32 = 20;
const MODELS_PER_ENGINE: usize = 3;
const COPIES_PER_ENGINE: usize = 18;
const ADAPTERS_PER_MODEL: usize = 10;
const WEIGHTS: u64 = 70_000;

fn model_name(number: usize) -> name::ModelName {
    name::ModelName::from(format!("model-{number:04}"))
}

fn engine(models: usize) -> declaration::DeclaredEngine {
    let declared = |number| declaration::DeclaredModel {
        name: model_name(number),
        weights: amount::ByteCount(WEIGHTS),
        adapter: amount::ByteCount(1),
        adapters: (0..if number % 11 == 0 {
            ADAPTERS_PER_MODEL
        } else {
            0
        })
            .map(|adapter| name::AdapterName::from(format!("a{adapter}")))
            .collect(),
        store_load: time::Duration::from_secs(8),
        disk_load: time::Duration::from_secs(1),
        memory_load: time::Duration::from_millis(800),
    };
    declaration::DeclaredEngine {
        slots: 12,
        cache_tokens: amount::TokenCount(60_000),
        weight_memory: amount::ByteCount(WEIGHTS * 3 + 100),
        adapter_slots: 8,
        store_loads_per_s: 40.0,
        tokens_per_event: 4,
        models: (0..models).map(declared).collect(),
    }
}

fn record(number: usize, models: usize) -> domain::ServerRecord {
    let held = |offset| domain::HeldModel {
        name: model_name((number * MODELS_PER_ENGINE + offset) % models),
        version: 1,
        retiring: false,
    };
    let cached =
        (0..COPIES_PER_ENGINE).map(|offset| model_name((number * 7 + offset * 31) % models));
    let notice = domain::ServerNotice {
        name: name::ServerName::from(format!("server-{number:05}")),
        started_ms: 1,
        sequence: 1,
        service: name::ServiceName::from("models"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: name::DataCentreName::from("one"),
        slots: 12,
        stage: domain::ServerStage::Ready,
        removal_in: None,
        models: (0..MODELS_PER_ENGINE).map(held).collect(),
        adapters: Vec::new(),
        copies: domain::WeightCopies::new(Vec::new(), cached.collect()),
    };
    domain::ServerRecord::from(notice)
}

fn main() {
    let service = name::ServiceName::from("models");
    println!("| models | engines | us a round |");
    println!("|---|---|---|");
    for (models, engines) in [(50, 9), (330, 60), (688, 124), (1_900, 340)] {
        let declared = engine(models);
        let records: Vec<_> = (0..engines).map(|number| record(number, models)).collect();
        let mut spent = time::Duration::ZERO;
        let mut now = time::Instant::now();
        let mut planner = fleet::FleetPlanner::default();
        planner.plan(&service, &declared, records.iter(), now);
        now += time::Duration::from_secs(5);
        for _ in 0..ROUNDS {
            now += time::Duration::from_millis(50);
            for number in 0..models {
                let counts = fleet::DemandCounts {
                    arrivals: 1,
                    waiting: u32::from(number % 12 == 0),
                    running: 1,
                    ..fleet::DemandCounts::default()
                };
                let key = (service.clone(), model_name(number));
                planner.record_demand(&name::InstanceName::from("entry"), key, counts, now);
            }
            let began = time::Instant::now();
            let step = planner.plan(&service, &declared, records.iter(), now);
            spent += began.elapsed();
            std::hint::black_box(step);
        }
        println!(
            "| {models} | {engines} | {} |",
            (spent / ROUNDS).as_micros()
        );
    }
}
