//! A replica begins to work on part of its orders and then fails them with 503, without `Not-Executed`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Draw, Fleet, Record, Replica};

/// Four replicas, as many as the sheet has for `mainc`; one of them fails, as `srv_grey` with a share of 0.14.
const REPLICAS: u8 = 4;

/// The part of its requests that the failing replica fails; the site file has up to 0.45.
const FAILED_SHARE: f64 = 0.4;

/// As many as the sheet has in a burst of 1.7 times its traffic: 12 a second, for 70 s.
const ORDERS: usize = 840;

const ORDER_PERIOD: Duration = Duration::from_millis(83);

/// A run takes about 75 s.
const TIME_LIMIT: Duration = Duration::from_secs(112);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let fleet = Arc::new(Fleet::plan(5, 6, record));
    fleet.bound(TIME_LIMIT);
    let outcome = play(&fleet, record, trouble);
    fleet.end_all();
    outcome
}

fn play(fleet: &Arc<Fleet>, record: &Record, trouble: bool) -> i32 {
    fleet.start_all();
    if !fleet.declare(&fleet::document(7), Duration::from_secs(20)) || !fleet.wait_ready(Duration::from_secs(20)) {
        record.say("the deployment did not start");
        return 2;
    }
    // The runs that replicas began, by attempt: the replica and the status that it gave.
    let runs: Arc<Mutex<HashMap<String, Vec<(String, u16)>>>> = Arc::default();
    let draw = Arc::new(Mutex::new(Draw::new(11)));
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let (runs, draw, record) = (Arc::clone(&runs), Arc::clone(&draw), record.clone());
        let work = move |arrived: &fleet::Arrived, stream: &mut std::net::TcpStream| {
            let fails = trouble && number == 1 && draw.lock().unwrap().share() < FAILED_SHARE;
            let status = if fails { 503 } else { 200 };
            let run = (arrived.replica.clone(), status);
            runs.lock().unwrap().entry(arrived.id.clone()).or_default().push(run);
            record.add(&format!("{} runs {} ({})", arrived.replica, arrived.id, arrived.target));
            fleet::pause(15);
            record.add(&format!("{} answers {} with {status}", arrived.replica, arrived.id));
            let line = if fails { "503 Service Unavailable" } else { "200 OK" };
            fleet::answer(arrived, stream, line, "", "a bench")
        };
        let id = format!("i-mainc-{number}");
        replicas.push(Replica::start(fleet, 50 + number, &id, "mainc", Arc::new(work)));
    }
    for replica in &replicas {
        let (replica, fleet) = (Arc::clone(replica), Arc::clone(fleet));
        thread::spawn(move || {
            while replica.is_beating() {
                replica.beat(&fleet, "ready");
                fleet::pause(1_200);
            }
        });
    }
    let until = Instant::now() + Duration::from_secs(10);
    let probe = fleet::request("GET", "/look/1", "probe", 1_500, "");
    while fleet::call(fleet.front(0), &probe, Duration::from_secs(2)).status != 200 {
        if Instant::now() > until {
            record.say("no request was served before the case");
            return 2;
        }
        fleet::pause(200);
    }
    fleet::pause(1_500);
    let mut answers: HashMap<String, u16> = HashMap::new();
    let mut placed_twice = 0;
    let began = Instant::now();
    for order in 0..ORDERS {
        let due = began + ORDER_PERIOD * order as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        // The client repeats an order once, under a new attempt id, and only after a promise that it has not run.
        let mut ran = 0;
        for attempt in 0..2 {
            let id = format!("order-{order}-{attempt}");
            let body = format!("order {order}");
            let request = fleet::request("POST", "/book/7", &id, 1_500, &body);
            let answer = fleet::call(fleet.front(order), &request, Duration::from_secs(2));
            record.add(&format!(
                "client gets {} for {id}, signature {:?}",
                answer.status,
                answer.headers.get("server-signature")
            ));
            answers.insert(id.clone(), answer.status);
            ran += runs.lock().unwrap().get(&id).map_or(0, Vec::len);
            if !matches!(answer.status, 408 | 421 | 429 | 503) {
                break;
            }
            // Clients honour `Retry-After`, up to one third of the time that they have.
            let stated = answer.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok());
            let wait = stated.map_or(20.0, |seconds| (seconds * 1_000.0).clamp(20.0, 500.0));
            fleet::pause(wait as u64);
        }
        placed_twice += usize::from(ran > 1);
    }
    for replica in &replicas {
        replica.stop_beating();
    }
    let runs = runs.lock().unwrap();
    let served = answers.values().filter(|status| **status == 200).count();
    let untrue: Vec<_> = answers
        .iter()
        .filter(|(id, status)| matches!(**status, 408 | 421 | 429 | 503) && runs.contains_key(*id))
        .collect();
    for (id, status) in &untrue {
        record.add(&format!("REFUSED: {id} was answered {status} and ran: {:?}", runs[*id]));
    }
    record.say(&format!(
        "{ORDERS} orders, {} attempts, {served} served; {} attempts were answered 503 and had run; {placed_twice} orders ran twice",
        answers.len(),
        untrue.len()
    ));
    if served == 0 {
        return 2;
    }
    i32::from(!untrue.is_empty())
}
