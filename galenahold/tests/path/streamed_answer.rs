//! Streamed answers of models.

use std::io;
use std::io::{BufRead, Write};
use std::net;
use std::time;

use galenahold_testkit::engine;
use serde_json::json;

use crate::fleet_setup;

/// Time between two tokens of the stand-in: long enough that a buffered token would come late.
const TOKEN_TIME: time::Duration = time::Duration::from_millis(1_500);

#[test]
fn the_first_token_reaches_the_socket_before_the_second_is_made() {
    let timings = engine::EngineTimings {
        step_us: u64::try_from(TOKEN_TIME.as_micros()).expect("fits"),
        ..engine::EngineTimings::default()
    };
    let path = fleet_setup::PathFleet::start(timings);
    let mut reader = open_stream(&path, 3);
    wait_for_event(&mut reader);
    let produced = path
        .engine
        .ledger()
        .requests
        .last()
        .expect("the engine has the request")
        .output_tokens;
    assert_eq!(
        produced, 1,
        "the first token came after the second was made"
    );
}

/// Opens a stream on a socket of its own, without any library that buffers.
fn open_stream(path: &fleet_setup::PathFleet, instance: usize) -> io::BufReader<net::TcpStream> {
    let body = json!({
        "model": "alama-llm",
        "stream": true,
        "max_tokens": 3,
        "messages": [{ "role": "user", "content": "flood mark" }],
    })
    .to_string();
    let address = path.fleet.callers()[instance];
    let mut socket = net::TcpStream::connect(address).expect("the instance listens");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        path.key,
        body.len()
    );
    socket.write_all(head.as_bytes()).expect("written");
    socket.write_all(body.as_bytes()).expect("written");
    io::BufReader::new(socket)
}

fn wait_for_event(reader: &mut io::BufReader<net::TcpStream>) {
    let mut line = String::new();
    loop {
        line.clear();
        let length = reader.read_line(&mut line).expect("the stream goes on");
        assert!(length > 0, "the stream ended without an event");
        if line.starts_with("data:") {
            return;
        }
    }
}
