//! Requests that are wrong.

use galenahold_testkit::harness;

use crate::bad_request;
use crate::bad_request::request;
use crate::input_fleet;

#[test]
fn each_bad_request_gets_a_clear_error_runs_nothing_and_harms_nobody_else() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let served_before = fleet.serving.services()[0].ledger().requests.len();
    let mut wrong = Vec::new();
    for bad in bad_request::all(fleet.serving.key()) {
        let answer = fleet.send_raw(&bad.bytes);
        let status = answer
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3)?.parse().ok());
        if !answer.is_empty() && !status.is_some_and(|status| bad.statuses.contains(&status)) {
            wrong.push(format!("{}: {answer}", bad.name));
        }
        fleet.assert_serves_others();
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let ledger = fleet.serving.services()[0].ledger();
    let passed_on = &ledger.requests[served_before..];
    let strange: Vec<_> = passed_on
        .iter()
        .filter(|request| request.path != "/foundry/records/honest")
        .collect();
    assert!(strange.is_empty(), "{strange:#?}");
    assert!(
        passed_on
            .iter()
            .all(|request| request.team.as_deref() == Some("councils"))
    );
}

#[test]
fn a_request_with_length_and_chunks_cannot_smuggle_another_one() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let auth = format!("authorization: Bearer {}\r\n", fleet.serving.key());
    let order = "POST /foundry/orders";
    let smuggled = r#"{"order":"smuggled"}"#;
    let headers = format!("{auth}content-length: {}\r\n", smuggled.len());
    let smuggled = request(order, &headers, smuggled);
    for lengths in [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
    ] {
        let framed = "13\r\n{\"order\":\"chunked\"}\r\n0\r\n\r\n";
        let mut bytes = request(order, &format!("{auth}{lengths}"), framed);
        bytes.extend_from_slice(&smuggled);
        let answer = fleet.send_raw(&bytes);
        // The chunks decide, and the connection serves nothing after them.
        assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        fleet.assert_serves_others();
    }
    assert_eq!(fleet.serving.runs("smuggled"), 0);
    assert!(fleet.serving.runs("chunked") <= 2);
}

#[test]
fn pipelined_requests_are_answered_in_order_and_run_once_each() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let mut bytes = Vec::new();
    for number in 0..5 {
        let body = format!(r#"{{"order":"piped-{number}"}}"#);
        let connection = if number == 4 { "close" } else { "keep-alive" };
        let headers = format!(
            "authorization: Bearer {}\r\nconnection: {connection}\r\ncontent-length: {}\r\n",
            fleet.serving.key(),
            body.len()
        );
        bytes.extend(request("POST /foundry/orders", &headers, &body));
    }
    let answer = fleet.send_raw(&bytes);
    let places: Vec<_> = (0..5)
        .map(|number| answer.find(&format!("\"piped-{number}\"")))
        .collect();
    assert!(places.iter().all(Option::is_some), "{answer}");
    assert!(places.is_sorted(), "{answer}");
    for number in 0..5 {
        assert_eq!(fleet.serving.runs(&format!("piped-{number}")), 1);
    }
}

#[test]
fn a_caller_cannot_name_another_team_or_request_to_the_backend_server() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let answer = fleet
        .serving
        .caller(1)
        .header("x-team", "rival")
        .header("x-request-id", "forged")
        .header("x-resume-request-id", "forged")
        .header("x-fencing-number", "9.9")
        .get("/foundry/records/forged")
        .expect("an answer comes");
    assert_eq!(answer.status, 200);
    let ledger = fleet.serving.services()[0].ledger();
    let request = ledger.requests.last().expect("it arrived");
    assert_eq!(request.team.as_deref(), Some("councils"));
    assert!(!request.mentions("rival") && request.request_id != "forged");
    let forged = request
        .headers
        .iter()
        .filter(|header| header.value == "forged");
    assert_eq!(forged.count(), 0, "{request:?}");
    let chat = fleet
        .serving
        .caller(1)
        .header("x-resume-request-id", "forged")
        .header("x-resume-offset", "2")
        .chat(harness::SERVED_MODEL, "forged", 4, false)
        .expect("an answer comes");
    assert_eq!(chat.status, 200);
    let ledger = fleet.serving.engines()[0].ledger();
    assert_eq!(ledger.requests.last().expect("it arrived").resume_offset, 0);
}
