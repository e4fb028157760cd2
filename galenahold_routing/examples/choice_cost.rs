//! Measures the time that one decision of the call scheduler takes: 90 servers of three models, of which nine
//! hold the model of the calls, with a view and predicted times.
//!
//! `cargo run --release -p galenahold_routing --example choice_cost`

use std::net;
use std::sync;
use std::time;

use galenahold_domain::{amount, declaration, fleet as domain, name};
use galenahold_routing::{fleet, load};

const SERVERS: u32 = 90;
const DECISIONS: u32 = 100_000;

fn record(index: u32) -> domain::ServerRecord {
    let held = |model: String| domain::HeldModel {
        name: name::ModelName::from(model.as_str()),
        version: 1,
        retiring: false,
    };
    let popular = if index.is_multiple_of(10) {
        "popular"
    } else {
        "rare"
    };
    domain::ServerRecord {
        name: name::ServerName::from(format!("engine-{index}").as_str()),
        started_ms: 1,
        service: name::ServiceName::from("models"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: name::DataCentreName::from("one"),
        slots: 16,
        stage: domain::ServerStage::Ready,
        silent: false,
        leaves_soon: false,
        models: vec![
            held(popular.to_owned()),
            held(format!("a{index}")),
            held(format!("b{index}")),
        ],
        adapters: Vec::new(),
        loading: None,
        copies: domain::WeightCopies::default(),
    }
}

fn declaration() -> declaration::FleetDeclaration {
    let engine = declaration::DeclaredEngine {
        slots: 16,
        cache_tokens: amount::TokenCount(78_510),
        weight_memory: amount::ByteCount(1),
        adapter_slots: 1,
        store_loads_per_s: 1.0,
        tokens_per_event: 5,
        models: Vec::new(),
    };
    declaration::FleetDeclaration {
        number: 1,
        routes: Vec::new(),
        services: vec![declaration::DeclaredService {
            name: name::ServiceName::from("models"),
            health_path: sync::Arc::from("/health"),
            max_connections: 1,
            engine: Some(engine),
        }],
        teams: Vec::new(),
        limits: declaration::CallerLimits {
            head: amount::ByteCount(1),
            body: amount::ByteCount(1),
            head_timeout: time::Duration::ZERO,
            idle_timeout: time::Duration::ZERO,
        },
    }
}

fn main() {
    let now = time::Instant::now();
    let mut scheduler = fleet::CallScheduler::default();
    scheduler.declare(&declaration());
    let mut loads = Vec::new();
    for index in 0..SERVERS {
        let record = record(index);
        loads.push(load::ServerLoad {
            server: record.name.clone(),
            started_ms: 1,
            running: 6,
            unread_tokens: 1_000,
            cache_tokens: 10_000,
            pace: Some(1.0),
            measured_at: now,
        });
        scheduler.update_server(record, now);
    }
    scheduler.apply_loads(&loads);
    let requirements = fleet::CallRequirements {
        service: name::ServiceName::from("models"),
        target: Some(fleet::ModelTarget {
            model: name::ModelName::from("popular"),
            adapter: None,
        }),
        rank: 0,
        affinity: 1,
        suspect_place: None,
        work: load::CallWork {
            prompt_tokens: 1_460,
            output_events: 38,
            output_tokens: 190,
            objective: time::Duration::from_millis(500),
            event_gap: Some(time::Duration::from_millis(300)),
        },
        due_at: now + time::Duration::from_millis(500),
        deadline: now + time::Duration::from_secs(10),
        wait_deadline: now + time::Duration::from_secs(2),
        draw: 1,
        tried: Vec::new(),
    };
    let taught = scheduler.submit(requirements.clone(), now);
    if let fleet::CallSubmission::Placed(placement) = taught {
        scheduler.begin_answer(placement.run, time::Duration::from_millis(120));
        scheduler.record_events(placement.run, time::Duration::from_millis(40), now);
        scheduler.finish(placement.run, now);
    }
    let began = time::Instant::now();
    for draw in 0..DECISIONS {
        let mut requirements = requirements.clone();
        requirements.draw = u64::from(draw).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if let fleet::CallSubmission::Placed(placement) = scheduler.submit(requirements, now) {
            scheduler.finish(placement.run, now);
        }
    }
    let each = began.elapsed() / DECISIONS;
    println!("{each:?} for a call that is placed at one of {SERVERS} servers and ends");
}
