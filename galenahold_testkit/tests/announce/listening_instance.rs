//! An instance that only listens for messages of backend servers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

use serde::de;

/// Limit on waits for a message.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Hands on the bodies that servers post to it.
#[derive(Debug)]
pub(crate) struct ListeningInstance {
    address: net::SocketAddr,
    bodies: mpsc::Receiver<Vec<u8>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ListeningInstance {
    pub(crate) fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (sender, bodies) = mpsc::channel();
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                let body = stream.ok().and_then(answer);
                let Some(body) = body else { continue };
                if body.is_empty() || sender.send(body).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            bodies,
            thread: Some(thread),
        }
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits for the next message.
    pub(crate) fn next<M: de::DeserializeOwned>(&self) -> M {
        let body = self.bodies.recv_timeout(WAIT_LIMIT).expect("a message");
        serde_json::from_slice(&body).expect("the expected kind of message")
    }

    /// Waits for a message that `wanted` accepts.
    pub(crate) fn next_where<M: de::DeserializeOwned>(&self, wanted: impl Fn(&M) -> bool) -> M {
        loop {
            let message = self.next();
            if wanted(&message) {
                return message;
            }
        }
    }

    /// Waits until no message has come for `silence`.
    pub(crate) fn wait_silent(&self, silence: time::Duration) {
        let deadline = time::Instant::now() + WAIT_LIMIT;
        while self.bodies.recv_timeout(silence).is_ok() {
            assert!(time::Instant::now() < deadline, "messages never stopped");
        }
    }
}

impl Drop for ListeningInstance {
    fn drop(&mut self) {
        // An empty body ends the thread.
        if let Ok(mut stream) = net::TcpStream::connect(self.address) {
            let _ = stream.write_all(b"POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.read(&mut [0; 1]);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads one request, answers it and gives its body.
fn answer(mut stream: net::TcpStream) -> Option<Vec<u8>> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
        .ok()?;
    Some(body)
}
