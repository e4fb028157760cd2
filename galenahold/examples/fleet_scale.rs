//! Measures what an idle fleet costs, and how long a change takes to its last instance.
//!
//! Starts control and entry instances as processes, and stand-in engines that announce themselves each
//! second; prints processor time and memory of each role, and the times from the acknowledgement of a
//! change until the last instance has it in force.
//!
//! `cargo run --release -p galenahold --example fleet_scale -- CONTROL ENTRIES ENGINES [RELAYS]`
//! With relays, the first so many entry instances take their configuration from the control group and
//! all others from one of them.

use std::env;
use std::error;
use std::fs;
use std::process;
use std::thread;
use std::time;

use galenahold_testkit::engine;
use galenahold_testkit::harness;
use serde_json::json;

/// How long the fleet may take to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_mins(3);

/// How long the idle fleet is watched.
const WATCHED: time::Duration = time::Duration::from_secs(20);

/// Changes whose way to the last instance is timed.
const CHANGES: usize = 20;

/// Ticks of the processor clock in a second, as Linux counts them in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the command's name before the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// What was read of one process.
#[derive(Debug, Clone, Copy, Default)]
struct ProcessCost {
    ticks: f64,
    resident_bytes: f64,
}

/// The size of the fleet.
struct FleetSize {
    control: usize,
    entries: usize,
    engines: usize,
    relays: usize,
}

fn main() -> process::ExitCode {
    // The example starts itself as the instances, so that it needs nothing built beside it.
    if env::args().nth(1).as_deref() == Some("serve") {
        return galenahold::run_command_line(env::args_os());
    }
    match measure() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<(), Box<dyn error::Error>> {
    let size = read_size();
    let fleet = start_fleet(&size)?;
    let engines: Vec<_> = (0..size.engines)
        .map(|number| {
            engine::EngineBuilder::new(&format!("engine-{number}"))
                .instances(&fleet.backends())
                .model(&format!("model-{number}"), "1", 1_000)
                .start()
        })
        .collect::<Result<_, _>>()?;
    thread::sleep(time::Duration::from_secs(5));
    print_idle(&fleet, &size);
    print_changes(&fleet)?;
    drop(engines);
    Ok(())
}

fn read_size() -> FleetSize {
    let number = |place: usize, default: usize| {
        let text = env::args().nth(place);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    FleetSize {
        control: number(1, 3),
        entries: number(2, 6),
        engines: number(3, 0),
        relays: number(4, 0),
    }
}

fn start_fleet(size: &FleetSize) -> Result<harness::InstanceFleet, Box<dyn error::Error>> {
    let mut builder = harness::FleetBuilder::default()
        .binary(&env::current_exe()?)
        .control(size.control)
        .entries(size.entries);
    for entry in size.relays..size.entries {
        if size.relays > 0 {
            builder = builder.relay(size.control + entry, size.control + entry % size.relays);
        }
    }
    Ok(builder.start_ready(READY_LIMIT)?)
}

fn print_idle(fleet: &harness::InstanceFleet, size: &FleetSize) {
    let before = read_costs(fleet);
    thread::sleep(WATCHED);
    let after = read_costs(fleet);
    println!("role instances core_per_cent_mean core_per_cent_most resident_mb_mean");
    let cost = |range: std::ops::Range<usize>, role: &str| {
        let shares: Vec<f64> = range
            .clone()
            .map(|place| {
                let ticks = after[place].ticks - before[place].ticks;
                ticks / TICKS_PER_SECOND / WATCHED.as_secs_f64() * 100.0
            })
            .collect();
        let memory: f64 = range.clone().map(|place| after[place].resident_bytes).sum();
        let count = to_float(range.len().max(1));
        println!(
            "{role} {} {:.2} {:.2} {:.1}",
            range.len(),
            shares.iter().sum::<f64>() / count,
            shares.iter().copied().fold(0.0, f64::max),
            memory / count / 1e6
        );
    };
    cost(0..size.control, "control");
    cost(size.control..size.control + size.entries, "entry");
}

fn read_costs(fleet: &harness::InstanceFleet) -> Vec<ProcessCost> {
    fleet
        .instances()
        .iter()
        .map(|instance| instance.id().and_then(read_cost).unwrap_or_default())
        .collect()
}

fn read_cost(id: u32) -> Option<ProcessCost> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: f64 = resident.split_whitespace().nth(1)?.parse().ok()?;
    Some(ProcessCost {
        ticks: user + system,
        resident_bytes: kilobytes * 1_024.0,
    })
}

fn print_changes(fleet: &harness::InstanceFleet) -> Result<(), Box<dyn error::Error>> {
    let operator = fleet.operator();
    operator.state_intent(&json!({
        "teams": [{ "name": "councils", "rate_tokens_per_s": 10, "burst_tokens": 100 }],
    }))?;
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        operator.give_key("councils")?;
        let acknowledged = time::Instant::now();
        let revision = revision_at(fleet, 0).unwrap_or_default();
        for place in 0..fleet.instances().len() {
            while revision_at(fleet, place) < Some(revision) {
                thread::sleep(time::Duration::from_millis(1));
            }
        }
        times.push(acknowledged.elapsed());
    }
    times.sort_unstable();
    println!(
        "change to last instance, reading all one after the other: p50 {:.0?} most {:.0?}",
        times[CHANGES / 2],
        times[CHANGES - 1]
    );
    Ok(())
}

fn revision_at(fleet: &harness::InstanceFleet, place: usize) -> Option<u64> {
    let address = fleet.operators()[place];
    let answer = fleet.operator().call(address, "/v1/revision", None).ok()?;
    answer.body["revision"].as_u64()
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_float(number: usize) -> f64 {
    number as f64
}
