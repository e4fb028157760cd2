//! The harness drives the real product; needs the binary `galenahold` beside the tests.

mod experiments;

use std::time;

use galenahold_testkit::{engine, harness, ledger, load};
use serde_json::json;

/// Limit on starts.
const LIMIT: time::Duration = time::Duration::from_mins(1);

#[test]
fn every_instance_serves_a_team_and_shows_its_key_to_no_engine() {
    let fleet = harness::FleetBuilder::default().entries(1);
    let fleet = fleet.start_ready(LIMIT).expect("a ready fleet");
    let engine = engine::EngineBuilder::new("engine-1")
        .instances(&fleet.backends())
        .announce_interval_ms(100)
        .model("llm", "1", 1_000)
        .start()
        .expect("an engine");
    let intent = json!({
        "teams": [{"name": "joiners", "rate_tokens_per_s": 100_000, "burst_tokens": 100_000}],
        "models": [{"name": "llm", "version": "1", "bytes": 1_000}],
        "services": [
            {"name": "cyngor", "kind": "models", "models": ["llm"], "teams": ["joiners"]}
        ],
    });
    let operator = fleet.operator();
    assert!(operator.state_intent(&intent).expect("a revision") > 0);
    let keys = operator.give_keys(["joiners"]).expect("a key");
    let settings = load::LoadSettings {
        targets: fleet.load_targets(),
        keys: keys.clone(),
        ..load::LoadSettings::default()
    };
    let requests = (0..8_u64).map(|number| load::TraceRequest {
        id: format!("r-{number}"),
        at_us: number * 50_000,
        team: "joiners".to_owned(),
        inside_rate: true,
        body: load::TraceBody::Completion {
            model: "llm".to_owned(),
            shared_tokens: 4,
            own_tokens: 8,
            output_tokens: 6,
            stream: number % 2 == 0,
            after_idle: false,
        },
    });
    let run = load::LoadRun::new(settings).expect("a run");
    let result = run.play(&load::LoadTrace::new(requests.collect()));
    let all = result.route(load::RouteKind::Through, "");
    let all = all.expect("results");
    assert_eq!((all.sent, all.answered), (8, 8), "{all:#?}");
    let seen = engine.ledger();
    assert_eq!(seen.count(ledger::RequestOutcome::Finished), 8);
    for key in keys.values() {
        assert!(!key.is_empty());
        assert!(!seen.requests.iter().any(|request| request.mentions(key)));
    }
}
