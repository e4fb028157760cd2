//! A replica crashes while its streams run; the clients leave while the system looks for another replica.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::replica::{Pace, Replica};

const SLOTS: u32 = 12;
const REPLICAS: usize = 6;

/// The rule allows "a few" requests; this many would still pass.
const A_FEW: usize = 5;

/// When the replica crashes and when its clients leave, after the requests were sent.
const CRASH_AT: Duration = Duration::from_millis(700);
const LEAVE_AT: Duration = Duration::from_millis(1_400);

/// A stream has 15 events, 200 ms apart: about 3 s.
const PACE: Pace = Pace {
    first: Duration::from_millis(50),
    gap: Duration::from_millis(200),
    events: 15,
};

fn core(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 43, number)
}

fn document() -> String {
    r#"{"version": 1, "routes": [{"name": "brief", "host": "desk.example", "path_prefix": "/brief/",
"route_kind": "streaming", "timeout_ms": 30000, "slo_ms": 4000, "priority": 1, "service": "writers",
"max_attempts": 2, "public": true, "sticky": true, "resumable": true, "itl_target_ms": 300}],
"services": [{"name": "writers", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
"engine": {"slots": 12, "kv_capacity": 120545, "kv_token_bytes": 163840, "link_mbps": 130000.0, "moves": true,
"backups": true, "stride": 3, "max_count": 12, "host_mb": 150000.0, "disk_mb": 1300000.0, "pin_ms": 4000.0,
"hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m0", "weights_mb": 65099.0, "load_s": 6.2,
"adapters": 0, "adapter_mb": 12.0, "warmup_s": 0.76, "disk_load_s": 1.6}], "weights_mb": 220000.0,
"adapter_slots": 8, "loads_per_s": 2.8}}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
"idle_timeout_ms": 15000}, "tenants": []}"#
        .to_owned()
}

/// What one client saw.
#[derive(Debug, Clone, Default)]
struct Seen {
    events: usize,
    complete: bool,
    left_at: Option<Instant>,
}

pub fn play(record: &Arc<Record>, trouble: &str) -> Outcome {
    let crashes = matches!(trouble, "1" | "crash");
    let leaves = matches!(trouble, "1" | "leave");
    let mut fleet = Fleet::new((1..=3).map(core).collect());
    for number in 1..=5 {
        fleet.start(core(number), true, true);
    }
    let entry = core(20);
    fleet.start(entry, false, true);
    let put = fleet.call_any("PUT", "/v1/config", &document(), Duration::from_secs(20));
    if put.is_none_or(|answer| answer.status != 200) {
        return Outcome::CouldNotRun;
    }
    let replicas: Vec<_> = (0..REPLICAS)
        .map(|index| Replica::start(&format!("i-{index}"), "writers", "m0", SLOTS, PACE))
        .collect();
    let ports = fleet.ports;
    let fleet = Arc::new(fleet);
    for replica in replicas.clone() {
        let fleet = Arc::downgrade(&fleet);
        thread::spawn(move || {
            while let Some(fleet) = fleet.upgrade().filter(|_| replica.is_alive()) {
                replica.beat(&fleet);
                drop(fleet);
                sleep(Duration::from_millis(1_200));
            }
        });
    }
    if !fleet.wait_ready(entry, Duration::from_secs(20)) {
        return Outcome::CouldNotRun;
    }
    // Two heartbeats of each replica, and some time for the new leader's pause to pass.
    sleep(Duration::from_secs(4));
    record.write("platform: 5 core machines, 1 frontend, 6 replicas with 12 slots each, all hold the model m0");
    let target = SocketAddr::from((entry, ports.front));
    let began = Instant::now();
    let count = REPLICAS * SLOTS as usize;
    let seen = Arc::new(Mutex::new(vec![Seen::default(); count]));
    let connections = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for index in 0..count {
        let seen = Arc::clone(&seen);
        let connections = Arc::clone(&connections);
        clients.push(thread::spawn(move || {
            let Ok(stream) = TcpStream::connect(target) else {
                return;
            };
            connections
                .lock()
                .expect("no panic")
                .push((index, stream.try_clone().expect("a socket can be shared")));
            let headers = [
                ("Host", "desk.example".to_owned()),
                ("Attempt-Id", attempt(index)),
                ("Deadline-Ms", "30000".to_owned()),
                ("Model", "m0".to_owned()),
                ("Token-Counts", "300,45".to_owned()),
                (
                    "Prefix-Hash",
                    format!("5c1e07a2:210,{:x}:90", 0x9000 + index),
                ),
            ];
            if http::send(&stream, "POST", "/brief/2f", &headers, "a prompt").is_err() {
                return;
            }
            let mut reader = BufReader::new(&stream);
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
                let mut seen = seen.lock().expect("no panic");
                if line.starts_with("data:") {
                    seen[index].events += 1;
                }
                seen[index].complete = line == "0\r\n";
                if seen[index].complete {
                    return;
                }
                line.clear();
            }
        }));
        sleep(Duration::from_millis(2));
    }
    record.write(&format!(
        "clients: sent {count} requests, one for each slot"
    ));
    sleep(CRASH_AT.saturating_sub(began.elapsed()));
    // The replica whose clients leave: the same one without the crash.
    let lost = &replicas[0];
    let of_lost: Vec<_> = lost
        .arrivals()
        .iter()
        .map(|arrival| arrival.attempt.clone())
        .collect();
    if crashes {
        lost.crash();
        record.write(&format!(
            "replica {} crashes with {} streams",
            lost.id(),
            of_lost.len()
        ));
    }
    sleep(LEAVE_AT.saturating_sub(began.elapsed()));
    if leaves {
        let mut left = 0;
        connections
            .lock()
            .expect("no panic")
            .retain(|(index, stream)| {
                let mut seen = seen.lock().expect("no panic");
                if !of_lost.contains(&attempt(*index)) || seen[*index].complete {
                    return true;
                }
                // Ends the client's read too, which then closes its side of the socket.
                let _ = stream.shutdown(Shutdown::Both);
                seen[*index].left_at = Some(Instant::now());
                left += 1;
                false
            });
        record.write(&format!(
            "clients: {left} of {count} clients leave, those of {}",
            lost.id()
        ));
    }
    sleep(Duration::from_secs(12).saturating_sub(began.elapsed()));
    for (_, stream) in connections.lock().expect("no panic").iter() {
        let _ = stream.shutdown(Shutdown::Both);
    }
    for client in clients {
        let _ = client.join();
    }
    let orders: u64 = replicas.iter().map(Replica::orders).sum();
    record.write(&format!("replicas: {orders} orders arrived"));
    replicas.iter().for_each(Replica::crash);
    end(fleet);
    let seen = seen.lock().expect("no panic").clone();
    let complete = seen.iter().filter(|seen| seen.complete).count();
    record.write(&format!("clients: {complete} of {count} streams complete"));
    let mut late = 0;
    for replica in &replicas {
        let arrivals = replica.arrivals();
        record.write(&format!(
            "replica {}: {} requests arrived",
            replica.id(),
            arrivals.len()
        ));
        for arrival in &arrivals {
            let index = index_of(&arrival.attempt);
            let Some(left_at) = seen.get(index).and_then(|seen| seen.left_at) else {
                continue;
            };
            let after = arrival.at.saturating_duration_since(left_at);
            if arrival.at > left_at && after > Duration::from_millis(500) {
                late += 1;
                record.write(&format!(
                    "replica {}: runs {} after event {}, {:.2} s after its client had closed its connection",
                    replica.id(),
                    arrival.attempt,
                    arrival.last_event.as_deref().unwrap_or("-"),
                    after.as_secs_f64()
                ));
            }
        }
    }
    record.write(&format!(
        "requests that reached a replica over 0.5 s after their client had left: {late}"
    ));
    if late > A_FEW {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Ends the processes once no heartbeat is under way any more.
fn end(fleet: Arc<Fleet>) {
    let mut shared = fleet;
    loop {
        match Arc::try_unwrap(shared) {
            Ok(fleet) => return drop(fleet),
            Err(still_shared) => shared = still_shared,
        }
        sleep(Duration::from_millis(50));
    }
}

fn attempt(index: usize) -> String {
    format!("{:016x}", 0xa000_0000_0000_0000_u64 + index as u64)
}

fn index_of(attempt: &str) -> usize {
    let number = u64::from_str_radix(attempt, 16).unwrap_or(u64::MAX);
    usize::try_from(number & 0xffff).unwrap_or(usize::MAX)
}
