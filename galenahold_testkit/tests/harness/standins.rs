//! Stand-ins as processes.

use galenahold_testkit::{control, engine, harness, ledger, service};
use serde_json::json;

use crate::LIMIT;

fn order(service: &harness::StandInProcess) {
    let url = format!("http://{}/orders", service.address());
    let request = ureq::post(url).send_json(json!({"order": "bench-1"}));
    request.expect("an answer");
}

#[test]
fn ledger_of_a_service_process_is_read_from_outside() {
    let settings = service::ServiceSettings::default();
    let service = harness::StandInProcess::service(&settings).expect("a service");
    order(&service);
    let seen = service.ledger().expect("a ledger");
    assert_eq!(seen.runs("bench-1"), 1);
    assert_eq!(seen.count(ledger::RequestOutcome::Finished), 1);
}

#[test]
fn engine_process_ends_in_the_middle_of_a_load() {
    let settings = engine::EngineSettings::default();
    let mut engine = harness::StandInProcess::engine(&settings).expect("an engine");
    let crash = control::ServerControl::CrashNextLoad;
    engine.control(&crash).expect("a switch");
    let url = format!("http://{}/v2/repository/models/a/load", engine.address());
    assert!(ureq::post(url).send_json(json!({})).is_err());
    let status = engine.wait_exit(LIMIT).expect("an end");
    assert_eq!(status.code(), Some(70));
    assert!(engine.ledger().is_err());
}

#[test]
fn switch_of_the_store_is_refused_by_an_engine() {
    let settings = engine::EngineSettings::default();
    let engine = harness::StandInProcess::engine(&settings).expect("an engine");
    let stall = control::ServerControl::StallStore { on: true };
    assert!(engine.control(&stall).is_err());
}
