//! A replica of a service: registers itself, answers requests with streams of events and keeps a list of its runs.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::Fleet;
use crate::http;

/// How the replica answers.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time to the first event.
    pub first: Duration,
    /// Time between events.
    pub gap: Duration,
    pub events: u64,
}

/// One arrival of a request at the replica.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub attempt: String,
    pub at: Instant,
    pub last_event: Option<String>,
}

struct State {
    id: String,
    service: String,
    model: String,
    slots: u32,
    pace: Mutex<HashMap<String, Pace>>,
    default_pace: Pace,
    address: SocketAddr,
    born: u64,
    beats: AtomicU64,
    dead: AtomicBool,
    orders: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
}

/// A replica; it listens until it crashes or the process ends.
#[derive(Clone)]
pub struct Replica {
    state: Arc<State>,
}

impl Replica {
    pub fn start(id: &str, service: &str, model: &str, slots: u32, default_pace: Pace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("the listener can be polled");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is right");
        let state = Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            model: model.to_owned(),
            slots,
            pace: Mutex::default(),
            default_pace,
            address: listener.local_addr().expect("the listener is bound"),
            born: now.as_millis() as u64,
            beats: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            orders: AtomicU64::new(0),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, &shared));
        Self { state }
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Sets the pace of the requests with the given last part of the path.
    #[allow(dead_code)]
    pub fn set_pace(&self, name: &str, pace: Pace) {
        self.state
            .pace
            .lock()
            .expect("no panic")
            .insert(name.to_owned(), pace);
    }

    /// Ends the replica at once: its connections break and its port refuses new ones.
    pub fn crash(&self) {
        self.state.dead.store(true, Ordering::SeqCst);
        for connection in self.state.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn is_alive(&self) -> bool {
        !self.state.dead.load(Ordering::SeqCst)
    }

    /// Returns how many orders arrived.
    pub fn orders(&self) -> u64 {
        self.state.orders.load(Ordering::SeqCst)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().expect("no panic").clone()
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, fleet: &Fleet) -> bool {
        let state = &self.state;
        let number = state.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let models = if state.model.is_empty() {
            String::new()
        } else {
            format!(
                r#","stage":"colocated","models":[{{"name":"{}","version":1,"adapters":[]}}]"#,
                state.model
            )
        };
        let body = format!(
            r#"{{"service":"{}","addr":"{}","zone":"one","version":"v1","slots":{},"state":"ready","cold_left_ms":0,"born":{},"seq":{number}{models}}}"#,
            state.service, state.address, state.slots, state.born
        );
        let path = format!("/v1/instances/{}", state.id);
        let answer = fleet.call_any("PUT", &path, &body, Duration::from_secs(3));
        answer.is_some_and(|answer| answer.status == 200)
    }
}

fn accept(listener: &TcpListener, state: &Arc<State>) {
    while !state.dead.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            sleep(Duration::from_millis(2));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            state.connections.lock().expect("no panic").push(copy);
        }
        let state = Arc::clone(state);
        thread::spawn(move || serve(&stream, &state));
    }
}

fn serve(stream: &TcpStream, state: &State) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader) {
        if state.dead.load(Ordering::SeqCst) || answer(stream, state, &request).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn answer(mut stream: &TcpStream, state: &State, request: &http::Request) -> std::io::Result<()> {
    let plain = |status: &str, headers: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/healthz") => {
            let head = format!("Instance-Id: {}\r\n", state.id);
            return stream.write_all(plain("200 OK", &head, "").as_bytes());
        }
        ("GET", "/v1/report") => {
            let body = format!(
                r#"{{"stage":"colocated","models":[{{"name":"{}","version":1,"adapters":[]}}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0}}"#,
                state.model
            );
            return stream.write_all(plain("200 OK", "", &body).as_bytes());
        }
        ("POST", "/v1/order") => {
            state.orders.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let loads_held = body.contains("\"op\":\"load\"")
                && body.contains(&format!("\"model\":\"{}\"", state.model))
                && !body.contains("\"adapter\"");
            // The order already holds, or does not exist: there is one model, without adapters.
            let status = if loads_held {
                "200 OK"
            } else {
                "400 Bad Request"
            };
            return stream.write_all(plain(status, "", "").as_bytes());
        }
        _ => {}
    }
    let expected = request.header("expect-instance");
    if expected.is_some_and(|expected| expected != state.id) {
        let head = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
        return stream.write_all(plain("421 Misdirected Request", &head, "").as_bytes());
    }
    let last_event = request.header("last-event-id").map(str::to_owned);
    let first = last_event
        .as_ref()
        .and_then(|id| id.parse::<u64>().ok())
        .map_or(1, |id| id + 1);
    state.arrivals.lock().expect("no panic").push(Arrival {
        attempt: attempt.clone(),
        at: Instant::now(),
        last_event,
    });
    let name = request.path.rsplit('/').next().unwrap_or_default();
    let pace = state.pace.lock().expect("no panic").get(name).copied();
    let pace = pace.unwrap_or(state.default_pace);
    sleep(pace.first);
    if state.dead.load(Ordering::SeqCst) {
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}.{attempt}\r\n\
         Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        state.id
    );
    stream.write_all(head.as_bytes())?;
    for number in first..=pace.events {
        if number > first {
            sleep(pace.gap);
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
