//! The fleet that the tests of input use.

use std::fs;
use std::io::{Read, Write};
use std::net;
use std::os::unix::fs::PermissionsExt;
use std::sync;
use std::time;

use galenahold_testkit::engine;
use galenahold_testkit::harness;
use serde_json::json;

/// One fleet at a time keeps the processes' timing apart.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

/// How long a socket may stay silent before a test gives up.
const SOCKET_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A fleet with an engine and a plain server, and tight limits.
pub(crate) struct InputFleet {
    /// The fleet.
    pub(crate) serving: harness::ServingFleet,
    _folder: tempfile::TempDir,
    _turn: sync::MutexGuard<'static, ()>,
}

impl InputFleet {
    /// Starts a fleet whose processes may open so many descriptors.
    pub(crate) fn start(descriptors: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let folder = tempfile::tempdir().expect("a folder can be had");
        let script = folder.path().join("limited.sh");
        let text = format!("#!/bin/sh\nulimit -n {descriptors}\nexec \"$PRODUCT_BINARY\" \"$@\"\n");
        fs::write(&script, text).expect("written");
        fs::set_permissions(&script, fs::Permissions::from_mode(0o700)).expect("set");
        let binary = harness::product_binary();
        let instances = harness::FleetBuilder::default()
            .control(1)
            .entries(1)
            .binary(&script)
            .variable("PRODUCT_BINARY", &binary.to_string_lossy())
            .settings(&json!({ "limits": {
                "max_head_bytes": 16_384, "max_body_bytes": 65_536,
                "head_timeout_ms": 1_500, "body_timeout_ms": 1_500,
                "max_connections_per_address": 64, "max_json_depth": 16,
            } }));
        let serving = harness::ServingBuilder::default()
            .instances(instances)
            .engines(1, engine::EngineTimings::default())
            .services(1, 1_000)
            .start()
            .expect("the fleet starts");
        Self {
            serving,
            _folder: folder,
            _turn: turn,
        }
    }

    /// Sends bytes as they are from an address of its own, keeps its side open and returns all that comes
    /// back until the instance ends the connection.
    pub(crate) fn send_raw(&self, bytes: &[u8]) -> String {
        let mut socket = connect_from(3, self.serving.address(1)).expect("the instance listens");
        socket
            .set_read_timeout(Some(SOCKET_TIMEOUT))
            .expect("the time is not zero");
        // An instance that refuses early closes its side before all is written.
        let _ = socket.write_all(bytes);
        let mut answer = Vec::new();
        // A reset ends the answer as well.
        let _ = socket.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Asserts that an honest caller at another address is served.
    pub(crate) fn assert_serves_others(&self) {
        let address = self.serving.address(1);
        let mut socket = connect_from(2, address).expect("the instance listens");
        socket
            .set_read_timeout(Some(SOCKET_TIMEOUT))
            .expect("the time is not zero");
        let request = format!(
            "GET /foundry/records/honest HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {}\r\nconnection: close\r\n\r\n",
            self.serving.key()
        );
        socket.write_all(request.as_bytes()).expect("written");
        let mut answer = String::new();
        socket.read_to_string(&mut answer).expect("a whole answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Connects from 127.0.0.`host`.
pub(crate) fn connect_from(host: u8, to: net::SocketAddr) -> std::io::Result<net::TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let from = net::SocketAddr::from(([127, 0, 0, host], 0));
    socket.bind(&from.into())?;
    socket.connect_timeout(&to.into(), SOCKET_TIMEOUT)?;
    Ok(socket.into())
}
