//! Requests that are wrong.

use galenahold_testkit::harness;

use crate::input_fleet;

/// A request with a head and a body.
fn request(first_line: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("{first_line} HTTP/1.1\r\nhost: instance\r\n{headers}\r\n{body}").into_bytes()
}

/// The requests of which every one must be refused, each with the statuses that will do.
///
/// No status at all stands for a connection that is closed without an answer.
fn bad_requests(key: &str) -> Vec<(&'static str, Vec<u8>, &'static [u16])> {
    let auth = format!("authorization: Bearer {key}\r\n");
    let chat = "POST /v1/chat/completions";
    let order = "POST /foundry/orders";
    let sized = |body: &str| format!("{auth}content-length: {}\r\n", body.len());
    let long = "x".repeat(70_000);
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    let deep = format!(r#"{{"model":"alama-llm","messages":[],"metadata":{deep}}}"#);
    let deepest = "[".repeat(60_000);
    let mut invalid = request(chat, &format!("{auth}content-length: 4\r\n"), "");
    invalid.extend_from_slice(b"\"\xff\xfe\"");
    let mut invalid_path = b"GET /foundry/\xff HTTP/1.1\r\nhost: instance\r\n".to_vec();
    invalid_path.extend_from_slice(format!("{auth}\r\n").as_bytes());
    vec![
        (
            "large head",
            request(
                "GET /foundry/records/1",
                &format!("{auth}x-long: {long}\r\n"),
                "",
            ),
            &[431],
        ),
        (
            "many headers",
            request(
                "GET /foundry/records/1",
                &format!("{auth}{}", "x-many: 1\r\n".repeat(500)),
                "",
            ),
            &[431],
        ),
        ("large body", request(order, &sized(&long), &long), &[413]),
        (
            "large chunked body",
            request(
                order,
                &format!("{auth}transfer-encoding: chunked\r\n"),
                &format!("11170\r\n{long}\r\n0\r\n\r\n"),
            ),
            &[413],
        ),
        (
            "length in letters",
            request(order, &format!("{auth}content-length: many\r\n"), "{}"),
            &[400],
        ),
        (
            "negative length",
            request(order, &format!("{auth}content-length: -2\r\n"), "{}"),
            &[400],
        ),
        (
            "two lengths",
            request(
                order,
                &format!("{auth}content-length: 2\r\ncontent-length: 3\r\n"),
                "{}x",
            ),
            &[400],
        ),
        (
            "short body",
            request(order, &format!("{auth}content-length: 900\r\n"), "{}"),
            &[400, 408],
        ),
        (
            "bad chunk",
            request(
                order,
                &format!("{auth}transfer-encoding: chunked\r\n"),
                "zz\r\n{}\r\n0\r\n\r\n",
            ),
            &[400],
        ),
        ("invalid UTF-8", invalid, &[400]),
        ("invalid path", invalid_path, &[400]),
        ("no JSON", request(chat, &sized("{"), "{"), &[400]),
        ("deep JSON", request(chat, &sized(&deep), &deep), &[400]),
        (
            "deepest JSON",
            request(chat, &sized(&deepest), &deepest),
            &[400],
        ),
        (
            "header injection",
            request(
                "GET /foundry/records/1",
                &format!("{auth}x-team\r\n: rival\r\n"),
                "",
            ),
            &[400],
        ),
        (
            "bare line feed in a value",
            request(
                "GET /foundry/records/1",
                &format!("{auth}user-agent: a\rx-team: rival\r\n"),
                "",
            ),
            &[400],
        ),
        (
            "unknown method",
            request("BREW /v1/models", &auth, ""),
            &[404, 405],
        ),
        (
            "wrong method",
            request("DELETE /v1/chat/completions", &auth, ""),
            &[405],
        ),
        (
            "dots in the path",
            request("GET /foundry/../v1/models", &auth, ""),
            &[400],
        ),
        (
            "escaped dots",
            request("GET /foundry/%2e%2e/v1/models", &auth, ""),
            &[400],
        ),
        (
            "not HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n".to_vec(),
            &[400],
        ),
        (
            "bad deadline",
            request(
                "GET /foundry/records/1",
                &format!("{auth}x-request-timeout-ms: soon\r\n"),
                "",
            ),
            &[400],
        ),
        (
            "empty order key",
            request(
                order,
                &format!("{auth}idempotency-key: \r\ncontent-length: 2\r\n"),
                "{}",
            ),
            &[400],
        ),
    ]
}

#[test]
fn each_bad_request_gets_a_clear_error_runs_nothing_and_harms_nobody_else() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let served_before = fleet.serving.services()[0].ledger().requests.len();
    let mut wrong = Vec::new();
    for (name, bytes, statuses) in bad_requests(fleet.serving.key()) {
        let answer = fleet.send_raw(&bytes);
        let status = answer
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3)?.parse().ok());
        if !answer.is_empty() && !status.is_some_and(|status| statuses.contains(&status)) {
            wrong.push(format!("{name}: {answer}"));
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
