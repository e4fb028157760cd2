//! Server records, call requirements and a scheduler for the tests.

use std::net;
use std::sync;
use std::time;

use galenahold_domain::{amount, declaration, fleet as domain, name};
use galenahold_routing::fleet;
use galenahold_routing::load;

pub(crate) fn service() -> name::ServiceName {
    name::ServiceName::from("models")
}

pub(crate) fn record(server: &str, models: &[&str]) -> domain::ServerRecord {
    let host = server.bytes().last().unwrap_or_default();
    domain::ServerRecord {
        name: name::ServerName::from(server),
        started_ms: 1,
        service: service(),
        address: net::SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: name::DataCentreName::from("one"),
        slots: 2,
        stage: domain::ServerStage::Ready,
        silent: false,
        leaves_soon: false,
        models: models.iter().map(|name| held(name)).collect(),
        adapters: Vec::new(),
        loading: None,
        copies: domain::WeightCopies::default(),
    }
}

fn held(name: &str) -> domain::HeldModel {
    domain::HeldModel {
        name: name::ModelName::from(name),
        version: 1,
        retiring: false,
    }
}

pub(crate) fn requirements(
    model: &str,
    timeout: time::Duration,
    now: time::Instant,
) -> fleet::CallRequirements {
    fleet::CallRequirements {
        service: service(),
        target: Some(fleet::ModelTarget {
            model: name::ModelName::from(model),
            adapter: None,
        }),
        rank: 1,
        affinity: 0,
        suspect_place: None,
        work: load::CallWork::default(),
        due_at: now,
        deadline: now + timeout,
        wait_deadline: now + timeout,
        draw: 0,
        tried: Vec::new(),
    }
}

pub(crate) fn plain_requirements(now: time::Instant) -> fleet::CallRequirements {
    fleet::CallRequirements {
        target: None,
        ..requirements("", time::Duration::from_secs(1), now)
    }
}

/// Returns a scheduler for one service whose model `m` loads in 6 s from the store and 2 s from disk.
pub(crate) fn scheduler(
    records: &[domain::ServerRecord],
    now: time::Instant,
) -> fleet::CallScheduler {
    let mut scheduler = fleet::CallScheduler::default();
    scheduler.set_followers(1);
    scheduler.declare(&declaration());
    for record in records {
        scheduler.update_server(record.clone(), now);
    }
    scheduler
}

fn declaration() -> declaration::FleetDeclaration {
    let model = declaration::DeclaredModel {
        name: name::ModelName::from("m"),
        weights: amount::ByteCount(1),
        adapter: amount::ByteCount(1),
        adapters: Vec::new(),
        store_load: time::Duration::from_secs(6),
        disk_load: time::Duration::from_secs(2),
        memory_load: time::Duration::from_secs(1),
    };
    let engine = declaration::DeclaredEngine {
        slots: 2,
        cache_tokens: amount::TokenCount(78_510),
        weight_memory: amount::ByteCount(1),
        adapter_slots: 1,
        store_loads_per_s: 1.0,
        tokens_per_event: 1,
        models: vec![model],
    };
    declaration::FleetDeclaration {
        number: 1,
        routes: Vec::new(),
        services: vec![declaration::DeclaredService {
            name: service(),
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

pub(crate) fn placed(submission: fleet::CallSubmission) -> fleet::CallPlacement {
    match submission {
        fleet::CallSubmission::Placed(placement) => placement,
        other => panic!("expected the call to be placed, got {other:?}"),
    }
}

pub(crate) fn waiting(submission: &fleet::CallSubmission) -> fleet::CallTicket {
    match submission {
        fleet::CallSubmission::Waiting(ticket) => *ticket,
        other => panic!("expected the call to wait, got {other:?}"),
    }
}

/// Returns a scheduler that has seen streams of model `m` with 50 ms for an event and 0.04 ms for a prompt
/// token, which occupied a slot for 2 s.
pub(crate) fn taught(records: &[domain::ServerRecord], now: time::Instant) -> fleet::CallScheduler {
    let mut scheduler = scheduler(records, now);
    let began = now.checked_sub(time::Duration::from_secs(2));
    let began = began.expect("the clock has run for 2 s");
    for _ in 0..16 {
        let mut requirements = requirements("m", time::Duration::from_secs(9), began);
        requirements.work.prompt_tokens = 1_000;
        let run = placed(scheduler.submit(requirements, began)).run;
        scheduler.begin_answer(run, time::Duration::from_millis(90));
        scheduler.record_events(run, time::Duration::from_millis(50), now);
        scheduler.finish(run, now);
    }
    scheduler
}

/// Returns what others use at the first start of a server.
pub(crate) fn load(server: &str, running: u32, measured_at: time::Instant) -> load::ServerLoad {
    load::ServerLoad {
        server: name::ServerName::from(server),
        started_ms: 1,
        running,
        unread_tokens: 0,
        cache_tokens: 0,
        pace: None,
        measured_at,
    }
}
