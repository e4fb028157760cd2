//! A core machine is replaced by plan; then two core machines lose their disks.

use std::fs;
use std::net::Ipv4Addr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, SIGTERM};
use crate::record::Record;

/// `catch_up_s` of the deployment.
const CATCH_UP: Duration = Duration::from_secs(4);

/// How long the operator reads the configuration back: well over `recovery_s` (12 s).
const READ_BACK: Duration = Duration::from_secs(45);

fn core(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 41, number)
}

pub fn document(version: u64) -> String {
    format!(
        r#"{{"version": {version}, "routes": [{{"name": "book", "host": "desk.example", "path_prefix": "/book/",
"route_kind": "non_idempotent", "timeout_ms": 800, "slo_ms": 100, "priority": 2, "service": "desk",
"max_attempts": 1, "public": false, "sticky": false, "resumable": false}}], "services": [{{"name": "desk",
"health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}}], "limits":
{{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}},
"tenants": [{{"name": "blue", "api_keys": ["key-{version}"], "priority": 1, "rate_per_s": 0, "burst": 0}}]}}"#
    )
}

fn put(fleet: &Fleet, record: &Record, version: u64) -> bool {
    let answer = fleet.call_any(
        "PUT",
        "/v1/config",
        &document(version),
        Duration::from_secs(20),
    );
    let status = answer.map_or(0, |answer| answer.status);
    record.write(&format!(
        "operator: PUT /v1/config version {version} -> {status}"
    ));
    status == 200
}

/// Returns the version that the operator reads, with the status for the record.
pub fn read_once(fleet: &Fleet, address: Ipv4Addr) -> (u16, Option<u64>) {
    let Some(answer) = fleet.call_control(address, "GET", "/v1/config", "") else {
        return (0, None);
    };
    let text = answer.text();
    let version = text.split("\"version\":").nth(1).and_then(|rest| {
        let digits: String = rest
            .trim_start()
            .chars()
            .take_while(char::is_ascii_digit)
            .collect();
        digits.parse().ok()
    });
    (answer.status, version.filter(|_| answer.status == 200))
}

pub fn play(record: &Record, trouble: &str) -> Outcome {
    let replaces = trouble != "0" && trouble != "wipe";
    let wipes = trouble != "0" && trouble != "replace";
    let mut fleet = Fleet::new((1..=3).map(core).collect());
    for number in 1..=5 {
        fleet.start(core(number), true, true);
    }
    record.write("platform: started 5 core machines, bootstrap true, fault_tolerance.machines 2");
    if !put(&fleet, record, 10) {
        return Outcome::CouldNotRun;
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(8));
    if replaces && trouble == "crash" {
        fleet.kill(core(5));
        record.write("platform: core-5 crashes and never returns");
        sleep(Duration::from_secs(1));
        fleet.start(core(6), true, false);
        record.write("platform: started the successor core-6 at a new address with an empty disk");
        sleep(CATCH_UP + Duration::from_millis(200));
        record.write("platform: the successor has had its 4 s (catch_up_s)");
    } else if replaces {
        fleet.start(core(6), true, false);
        record.write("platform: started the successor core-6 at a new address with an empty disk");
        sleep(CATCH_UP + Duration::from_millis(500));
        record.write("platform: the successor has had its 4 s (catch_up_s); SIGTERM to core-5, which is removed");
        fleet.signal(core(5), SIGTERM);
        fleet.wait_for_exit(core(5), Duration::from_secs(8));
        record.write("platform: core-5 has ended and never returns");
    }
    if !put(&fleet, record, 20) {
        return Outcome::CouldNotRun;
    }
    if let Some(gap_s) = std::env::var("GAP_S")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        sleep(Duration::from_secs_f64(gap_s));
    }
    if wipes {
        let lost = [core(1), core(2)];
        for address in lost {
            fleet.kill(address);
        }
        for address in lost {
            let _ = fs::remove_dir_all(fleet.data_folder(address));
        }
        record.write("platform: core-1 and core-2 lose power and their disks (2 machines, as fault_tolerance allows)");
        sleep(Duration::from_secs(1));
        for address in lost {
            fleet.start(address, true, false);
        }
        record.write("platform: core-1 and core-2 are back at their addresses, empty data_dir, bootstrap false");
    }
    let began = Instant::now();
    let mut last_line = String::new();
    while began.elapsed() < READ_BACK {
        let mut words = Vec::new();
        for address in fleet.control_addresses() {
            let (status, version) = read_once(&fleet, address);
            if version == Some(20) {
                let after = began.elapsed().as_secs_f64();
                record.write(&format!(
                    "operator: GET /v1/config at {address} -> version 20 after {after:.1} s"
                ));
                return Outcome::Held;
            }
            if let Some(version) = version {
                record.write(&format!(
                    "operator: GET /v1/config at {address} -> OLDER version {version}"
                ));
                return Outcome::Broken;
            }
            words.push(format!("{address}: {status}"));
        }
        let line = words.join(", ");
        if line != last_line {
            record.write(&format!("operator: GET /v1/config -> {line}"));
            last_line = line;
        }
        sleep(Duration::from_millis(500));
    }
    for address in fleet.control_addresses() {
        let state = if fleet.is_running(address) {
            "runs"
        } else {
            "has ended"
        };
        record.write(&format!("platform: the process at {address} {state}"));
    }
    record.write("operator: no core machine returned the acknowledged configuration within 45 s");
    Outcome::Broken
}
