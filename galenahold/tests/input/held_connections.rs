//! Callers that hold connections.

use std::io::Write;
use std::net;
use std::thread;
use std::time;

use galenahold_testkit::harness;

use crate::input_fleet;
use crate::input_fleet::connect_from;

/// Connections of one bad caller; the limit for one address is 64.
const HELD: usize = 300;

#[test]
fn hundreds_of_half_open_callers_lock_nobody_else_out_and_lose_their_places() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let address = fleet.serving.address(1);
    let held: Vec<_> = (0..HELD)
        .filter_map(|number| {
            let mut socket = connect_from(4, address).ok()?;
            if number.is_multiple_of(2) {
                // A connection over the limit is closed at once.
                let _ = socket.write_all(b"GET /foundry/records/1 HTTP/1.1\r\nhost:");
            }
            Some(socket)
        })
        .collect();
    assert!(held.len() > 64);
    fleet.assert_serves_others();
    harness::wait_until("their own address is served again", || {
        connect_from(4, address).is_ok_and(|socket| serves(socket, fleet.serving.key()))
    });
    drop(held);
}

#[test]
fn slow_callers_lose_their_places_whether_head_body_or_reading_is_slow() {
    let fleet = input_fleet::InputFleet::start(4_096);
    let address = fleet.serving.address(1);
    let key = fleet.serving.key().to_owned();
    let slow: Vec<_> = (0..60)
        .map(|number| {
            let key = key.clone();
            thread::spawn(move || drip(address, &key, number))
        })
        .collect();
    fleet.assert_serves_others();
    for caller in slow {
        assert!(caller.join().expect("it ends"), "a slow caller was kept");
    }
    fleet.assert_serves_others();
}

#[test]
fn an_instance_whose_descriptors_ran_out_serves_again_and_its_control_goes_on() {
    let fleet = input_fleet::InputFleet::start(160);
    for instance in 0..2 {
        let address = fleet.serving.address(instance);
        let held: Vec<_> = (10..14_u8)
            .flat_map(|host| (0..100).map(move |_| connect_from(host, address)))
            .filter_map(Result::ok)
            .collect();
        assert!(held.len() > 160);
        let order = format!("flooded-{instance}");
        // Refused or served, but with a true verdict.
        let body = serde_json::json!({ "order": order });
        let answer = fleet
            .serving
            .caller(instance)
            .timeout(time::Duration::from_secs(10))
            .post("/foundry/orders", &body);
        if answer.is_ok_and(|answer| answer.verdict.as_deref() == Some("not-run")) {
            assert_eq!(fleet.serving.runs(&order), 0);
        }
        drop(held);
        harness::wait_until("the instance serves again", || {
            let order = format!("after-{instance}");
            let answer = fleet
                .serving
                .caller(instance)
                .header("idempotency-key", &order)
                .post("/foundry/orders", &serde_json::json!({ "order": order }));
            answer.is_ok_and(|answer| answer.status == 200)
        });
        assert_eq!(fleet.serving.runs(&format!("after-{instance}")), 1);
        let process = &fleet.serving.instances().instances()[instance];
        assert!(
            process.log().contains("accept failed"),
            "no descriptor was missing"
        );
    }
    let given = fleet.serving.operator().give_key("councils");
    assert!(given.is_ok(), "{given:?}");
}

/// Sends one byte at a time; returns whether the instance ended the connection.
fn drip(address: net::SocketAddr, key: &str, number: usize) -> bool {
    let Ok(mut socket) = connect_from(5, address) else {
        return true;
    };
    let head = format!(
        "POST /foundry/orders HTTP/1.1\r\nhost: instance\r\nauthorization: Bearer {key}\r\n\
         content-length: 5000\r\n\r\n"
    );
    let slow_body = number.is_multiple_of(2);
    if slow_body && socket.write_all(head.as_bytes()).is_err() {
        return true;
    }
    let bytes = if slow_body { "x".repeat(5_000) } else { head };
    let deadline = time::Instant::now() + harness::WAIT_LIMIT;
    for byte in bytes.as_bytes() {
        if socket.write_all(&[*byte]).is_err() {
            return true;
        }
        if time::Instant::now() > deadline {
            return false;
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    false
}

/// Asks for a record and returns whether it came.
fn serves(mut socket: net::TcpStream, key: &str) -> bool {
    use std::io::Read;
    let request = format!(
        "GET /foundry/records/again HTTP/1.1\r\nhost: instance\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\n\r\n"
    );
    let mut answer = String::new();
    socket.write_all(request.as_bytes()).is_ok()
        && socket.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 200")
}
