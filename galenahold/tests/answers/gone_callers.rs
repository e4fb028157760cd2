//! Callers that go away.

use std::io::{Read, Write};
use std::net;

use galenahold_testkit::harness;
use galenahold_testkit::ledger::RequestOutcome;
use serde_json::json;

use crate::answer_fleet;

#[test]
fn the_engine_stops_when_the_caller_goes_away() {
    let fleet = answer_fleet::AnswerFleet::start(1, 20_000);
    for (cancelled, stream) in [(1, true), (2, false)] {
        let address = fleet.serving.address(0);
        let body = json!({
            "model": harness::SERVED_MODEL, "stream": stream, "max_tokens": 1_000,
            "messages": [{ "role": "user", "content": format!("gone {stream}") }],
        })
        .to_string();
        let mut socket = net::TcpStream::connect(address).expect("the instance listens");
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
            fleet.serving.key(),
            body.len()
        );
        socket.write_all(request.as_bytes()).expect("written");
        if stream {
            let mut piece = [0; 16];
            socket.read_exact(&mut piece).expect("the answer begins");
        }
        harness::wait_until("the engine runs the request", || {
            fleet.serving.engines()[0]
                .ledger()
                .count(RequestOutcome::Running)
                == 1
        });
        drop(socket);
        harness::wait_until("the engine stops", || {
            let ledger = fleet.serving.engines()[0].ledger();
            ledger.count(RequestOutcome::Cancelled) == cancelled
        });
        let requests = fleet.serving.engines()[0].ledger().requests;
        let produced = requests.last().expect("there is a request").output_tokens;
        assert!(produced < 1_000, "the engine ran to the end");
    }
}
