//! All machines of the core are replaced by plan, one after the other; no machine fails and no disk is lost.

use std::net::Ipv4Addr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::cases::replaced_core::{document, read_once};
use crate::fleet::{Fleet, SIGTERM};
use crate::record::Record;

/// `catch_up_s` of the deployment, which each successor gets before any machine is stopped, and some more.
const CATCH_UP: Duration = Duration::from_millis(5_000);

/// How long the operator reads the configuration back: well over `recovery_s` (12 s).
const READ_BACK: Duration = Duration::from_secs(40);

fn core(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 49, number)
}

pub fn play(record: &Record, trouble: &str) -> Outcome {
    let pause = match trouble {
        "slow" => Duration::from_secs(8),
        _ => Duration::from_millis(800),
    };
    let mut fleet = Fleet::new((1..=3).map(core).collect());
    for number in 1..=5 {
        fleet.start(core(number), true, true);
    }
    record.write("platform: started 5 core machines, bootstrap true, fault_tolerance.machines 2");
    let put = fleet.call_any("PUT", "/v1/config", &document(10), Duration::from_secs(20));
    let status = put.map_or(0, |answer| answer.status);
    record.write(&format!("operator: PUT /v1/config version 10 -> {status}"));
    if status != 200 {
        return Outcome::CouldNotRun;
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(8));
    if trouble != "0" {
        for number in 6..=10 {
            fleet.start(core(number), true, false);
        }
        record.write(
            "platform: started the successors core-6 to core-10 at new addresses with empty disks",
        );
        sleep(CATCH_UP);
        record.write("platform: the successors have had their 4 s (catch_up_s)");
        for number in 1..=5 {
            fleet.signal(core(number), SIGTERM);
            fleet.wait_for_exit(core(number), Duration::from_secs(8));
            record.write(&format!(
                "platform: core-{number} got SIGTERM and has ended; it never returns"
            ));
            sleep(pause);
        }
    }
    let began = Instant::now();
    let mut last_line = String::new();
    while began.elapsed() < READ_BACK {
        let mut words = Vec::new();
        for address in fleet.control_addresses() {
            let (status, version) = read_once(&fleet, address);
            if version == Some(10) {
                let after = began.elapsed().as_secs_f64();
                record.write(&format!(
                    "operator: GET /v1/config at {address} -> version 10 after {after:.1} s"
                ));
                return Outcome::Held;
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
    record.write("operator: no core machine returned the acknowledged configuration within 40 s");
    Outcome::Broken
}
