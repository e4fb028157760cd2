//! Promises of the plain service stand-in.

use std::time;

use galenahold_testkit::{control, ledger, service};
use serde_json::json;

/// Limit on calls that are never answered.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(300);

fn start() -> service::ServiceProcess {
    let builder = service::ServiceBuilder::new("desk-1", "foundry-desk");
    builder.start().expect("a service")
}

fn order(service: &service::ServiceProcess, order: &str) -> Result<u16, ureq::Error> {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_LIMIT));
    let agent: ureq::Agent = config.build().into();
    let url = format!("http://{}/orders", service.address());
    let answer = agent.post(url).send_json(json!({"order": order}))?;
    Ok(answer.status().as_u16())
}

#[test]
fn every_run_of_an_order_is_counted() {
    let service = start();
    assert_eq!(order(&service, "bench-1").expect("an answer"), 200);
    assert_eq!(order(&service, "bench-1").expect("an answer"), 200);
    assert_eq!(service.ledger().runs("bench-1"), 2);
    assert_eq!(service.ledger().runs("bench-2"), 0);
}

#[test]
fn idempotency_key_names_an_order_without_a_body_field() {
    let service = start();
    let url = format!("http://{}/book", service.address());
    let request = ureq::post(url).header("idempotency-key", "key-1");
    request.send("bench").expect("an answer");
    assert_eq!(service.ledger().runs("key-1"), 1);
}

#[test]
fn lookup_runs_no_order() {
    let service = start();
    let url = format!("http://{}/orders/bench-1", service.address());
    let request = ureq::get(url).header("idempotency-key", "key-1");
    request.call().expect("an answer");
    assert!(service.ledger().orders.is_empty());
    assert_eq!(service.ledger().count(ledger::RequestOutcome::Finished), 1);
}

#[test]
fn resets_before_the_run_leave_the_order_not_run() {
    let service = start();
    for control in [
        control::ServerControl::ResetBeforeBody { count: 1 },
        control::ServerControl::ResetDuringBody { count: 1 },
        control::ServerControl::ResetAfterBody { count: 1 },
    ] {
        service.control(&control);
        assert!(order(&service, "bench-1").is_err(), "{control:?}");
    }
    assert_eq!(service.ledger().runs("bench-1"), 0);
    assert_eq!(service.ledger().count(ledger::RequestOutcome::Refused), 3);
}

#[test]
fn refusal_with_a_verdict_is_truly_not_run() {
    let service = start();
    service.control(&control::ServerControl::RefuseNotRun { count: 1 });
    assert_eq!(order(&service, "bench-1").expect("an answer"), 503);
    assert_eq!(service.ledger().runs("bench-1"), 0);
}

#[test]
fn unanswered_order_did_run() {
    let service = start();
    service.control(&control::ServerControl::RunThenReset { count: 1 });
    assert!(order(&service, "bench-1").is_err());
    service.control(&control::ServerControl::RunWithoutAnswer { count: 1 });
    assert!(order(&service, "bench-2").is_err());
    assert_eq!(service.ledger().runs("bench-1"), 1);
    assert_eq!(service.ledger().runs("bench-2"), 1);
    assert_eq!(
        service.ledger().count(ledger::RequestOutcome::Unanswered),
        2
    );
}

#[test]
fn ledger_and_controls_are_served_over_http() {
    let service = start();
    let admin = service.admin();
    let control = json!({"control": "refuse_not_run", "count": 1});
    let url = format!("http://{admin}/control");
    ureq::post(url).send_json(&control).expect("an answer");
    assert_eq!(order(&service, "bench-1").expect("an answer"), 503);
    let mut answer = ureq::get(format!("http://{admin}/ledger"))
        .call()
        .expect("an answer");
    let ledger: ledger::LedgerSnapshot = answer.body_mut().read_json().expect("a ledger");
    assert_eq!(ledger, service.ledger());
}
