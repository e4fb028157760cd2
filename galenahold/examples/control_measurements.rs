//! Measures the control group with real processes on this machine.
//!
//! Run one part, with `commits`, `orders`, `leaderless`, `spread` or `traffic` as its name, by
//! `cargo run --release -p galenahold --example control_measurements -- NAME`. A further argument sets
//! the control instances (`commits`) or the election timeout in milliseconds (`leaderless`).

use std::collections;
use std::env;
use std::error;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::{proxy, service};
use serde_json::{Value, json};

/// How long anything that is waited for may take.
const LIMIT: time::Duration = time::Duration::from_mins(1);
/// Changes of which the latency is measured.
const CHANGES: u64 = 300;
/// Callers that send orders at once.
const ORDER_CALLERS: u64 = 64;
/// How long orders are sent.
const ORDER_TIME: time::Duration = time::Duration::from_secs(8);
/// Times that the leader is killed.
const KILLS: u64 = 24;
/// Age of the entry instance's configuration below which the next leader is killed.
const SETTLED_AGE_MS: u64 = 500;
/// Changes that are followed to all instances.
const SPREAD_CHANGES: u64 = 150;
/// Instances beside three control instances in the fleet of the stated size.
const ENTRIES: usize = 6;
/// How long the bytes of an idle fleet are counted.
const IDLE_TIME: time::Duration = time::Duration::from_secs(15);
/// Pause between looks.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(2);

type MeasureResult = Result<(), Box<dyn error::Error>>;

fn main() -> process::ExitCode {
    // The example starts itself as the instances, so that it needs nothing built beside it.
    let mut arguments = env::args().skip(1);
    let part = arguments.next().unwrap_or_default();
    let number = arguments.next().and_then(|text| text.parse().ok());
    let measured = match part.as_str() {
        "serve" => return galenahold::run_command_line(env::args_os()),
        "commits" => measure_commits(number.unwrap_or(3)),
        "orders" => measure_orders(),
        "leaderless" => measure_leaderless(number.unwrap_or(1_000)),
        "spread" => measure_spread(),
        "traffic" => measure_traffic(),
        _ => Err("name a part: commits, orders, leaderless, spread or traffic".into()),
    };
    match measured {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn builder(control: usize, entries: usize) -> Result<harness::FleetBuilder, env::VarError> {
    let binary = env::current_exe().map_err(|_| env::VarError::NotPresent)?;
    Ok(harness::FleetBuilder::default()
        .binary(&binary)
        .control(control)
        .entries(entries)
        .settings(&json!({ "timing": { "notice_ms": 200 } })))
}

/// Prints the latency of operators' changes, one after the other.
fn measure_commits(control: usize) -> MeasureResult {
    let fleet = builder(control, 1)?.start_ready(LIMIT)?;
    let probe = harness::FleetProbe::new(&fleet);
    fleet.operator().state_intent(&intent(1))?;
    let leader = probe.leader(control).ok_or("no leader")?;
    for (place, instance) in [("the leader", leader), ("an entry instance", control)] {
        let mut times = Vec::new();
        for number in 0..CHANGES {
            let body = json!({
                "request": format!("{instance}-{number}"), "team": "councils", "base": 1,
            });
            let started = time::Instant::now();
            let answer = probe.post(instance, "/v1/keys", &body)?;
            times.push(started.elapsed());
            if answer.status != 200 {
                return Err(answer.body.into());
            }
        }
        show(
            &format!("{control} members, keys given through {place}"),
            times,
        );
    }
    Ok(())
}

/// Prints how many orders a second are committed by many callers at once.
fn measure_orders() -> MeasureResult {
    let fleet = builder(3, 3)?.start_ready(LIMIT)?;
    let handler = service::ServiceBuilder::new("desk-1", "foundry-desk")
        .instances(&fleet.backends())
        .announce_interval_ms(200)
        .start()?;
    fleet.operator().state_intent(&intent(1))?;
    let key = fleet.operator().give_key("councils")?.key;
    for address in fleet.callers() {
        let caller = harness::FleetCaller::new(address).key(&key);
        harness::wait_within("an instance serves", LIMIT, || {
            let read = caller.get("/foundry/records/warm");
            read.is_ok_and(|answer| answer.status == 200)
        });
    }
    let addresses = fleet.callers();
    let started = time::Instant::now();
    let callers: Vec<_> = (0..ORDER_CALLERS)
        .map(|number| {
            let entry = 3 + usize::try_from(number).unwrap_or(0) % 3;
            let caller = harness::FleetCaller::new(addresses[entry]).key(&key);
            thread::spawn(move || send_orders(&caller, number, started))
        })
        .collect();
    let mut times = Vec::new();
    let mut failed = 0;
    for caller in callers {
        let (answered, others) = caller.join().map_err(|_| "a caller failed")?;
        times.extend(answered);
        failed += others;
    }
    let seconds = started.elapsed().as_secs_f64();
    let orders = f64::from(u32::try_from(times.len())?);
    println!(
        "{ORDER_CALLERS} callers: {:.0} orders/s, {:.0} commits/s (start and end of each), {failed} failed, {} counted by the service",
        orders / seconds,
        2.0 * orders / seconds,
        handler.ledger().orders.len(),
    );
    show("orders", times);
    Ok(())
}

fn send_orders(
    caller: &harness::FleetCaller,
    number: u64,
    started: time::Instant,
) -> (Vec<time::Duration>, u64) {
    let mut times = Vec::new();
    let mut failed = 0;
    let mut order = 0_u64;
    while started.elapsed() < ORDER_TIME {
        let name = format!("order-{number}-{order}");
        let sent = time::Instant::now();
        let answer = caller
            .clone()
            .header("idempotency-key", &name)
            .post("/foundry/orders", &json!({ "order": name }));
        if answer.is_ok_and(|answer| answer.status == 200) {
            times.push(sent.elapsed());
        } else {
            failed += 1;
        }
        order += 1;
    }
    (times, failed)
}

/// Prints how long nobody leads after the leader is killed, and what callers see meanwhile.
fn measure_leaderless(election_timeout_ms: usize) -> MeasureResult {
    let over = json!({ "timing": { "election_timeout_ms": election_timeout_ms } });
    let mut fleet = builder(3, 1)?.settings(&over).start_ready(LIMIT)?;
    let handler = service::ServiceBuilder::new("desk-1", "foundry-desk")
        .instances(&fleet.backends())
        .announce_interval_ms(200)
        .start()?;
    fleet.operator().state_intent(&intent(1))?;
    let key = fleet.operator().give_key("councils")?.key;
    let probe = harness::FleetProbe::new(&fleet);
    let caller = harness::FleetCaller::new(fleet.callers()[3]).key(&key);
    harness::wait_within("the entry instance serves", LIMIT, || {
        let read = caller.get("/foundry/records/warm");
        read.is_ok_and(|answer| answer.status == 200)
    });
    let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
    let reader = {
        let stopped = sync::Arc::clone(&stopped);
        thread::spawn(move || read_on(&caller, &stopped))
    };
    let mut times = Vec::new();
    for _ in 0..KILLS {
        harness::wait_within("one is safe to lose", LIMIT, || {
            let status = probe.status(3).unwrap_or_default();
            status["safe_to_lose"] == 1
        });
        harness::wait_within("the entry instance follows", LIMIT, || {
            let answer = probe.get(3, "/v1/revision");
            let age_ms = answer.map(|answer| answer.json()["age_ms"].as_u64());
            age_ms.is_ok_and(|age_ms| age_ms.is_some_and(|age_ms| age_ms < SETTLED_AGE_MS))
        });
        let old = probe.leader(3).ok_or("no leader")?;
        let killed = time::Instant::now();
        fleet.instances_mut()[old].kill();
        harness::wait_within("another leads", LIMIT, || {
            probe.leader(3).is_some_and(|leader| leader != old)
        });
        times.push(killed.elapsed());
        fleet.instances_mut()[old].start()?;
        fleet.instances_mut()[old].wait_ready(LIMIT)?;
    }
    stopped.store(true, atomic::Ordering::Relaxed);
    let seen = reader.join().map_err(|_| "the caller failed")?;
    show(
        &format!("without a leader, election timeout {election_timeout_ms} ms"),
        times,
    );
    println!("a caller at the entry instance meanwhile:");
    for (kind, count) in seen {
        println!("  {kind}: {count}");
    }
    println!(
        "requests at the service: {}",
        handler.ledger().requests.len()
    );
    Ok(())
}

/// Reads until told to stop; returns how often each kind of answer came.
fn read_on(
    caller: &harness::FleetCaller,
    stopped: &atomic::AtomicBool,
) -> collections::BTreeMap<String, u64> {
    let mut seen = collections::BTreeMap::new();
    while !stopped.load(atomic::Ordering::Relaxed) {
        let kind = match caller.get("/foundry/records/during") {
            Ok(answer) if answer.status == 200 => "answered".to_owned(),
            Ok(answer) => format!("{} {}", answer.status, answer.refusal()),
            Err(error) => error.to_string(),
        };
        *seen.entry(kind).or_default() += 1;
        thread::sleep(LOOK_PAUSE);
    }
    seen
}

/// Prints how long a confirmed plan takes until it is in force at the last of all instances.
fn measure_spread() -> MeasureResult {
    let fleet = builder(3, ENTRIES)?.start_ready(LIMIT)?;
    let probe = harness::FleetProbe::new(&fleet);
    let mut revision = fleet.operator().state_intent(&intent(1))?;
    let mut times = Vec::new();
    for number in 0..SPREAD_CHANGES {
        wait_revision(&probe, revision);
        let started = time::Instant::now();
        let answer = probe.confirm(3, &format!("plan-{number}"), &intent(number + 2))?;
        revision = answer.json()["revision"].as_u64().ok_or(answer.body)?;
        wait_revision(&probe, revision);
        times.push(started.elapsed());
    }
    show(
        "plan asked for and confirmed, until in force at the last of 9",
        times,
    );
    Ok(())
}

/// Waits until all instances have a revision in force, looking at all of them at once.
fn wait_revision(probe: &harness::FleetProbe, revision: u64) {
    thread::scope(|scope| {
        for instance in 0..probe.instances() {
            scope.spawn(move || {
                let reached = || {
                    let look = probe.revision(instance);
                    look.is_some_and(|look| look.fresh && look.revision >= revision)
                };
                while !reached() {
                    thread::sleep(LOOK_PAUSE);
                }
            });
        }
    });
}

/// Prints the bytes between instances, idle and for each change.
fn measure_traffic() -> MeasureResult {
    let fleet = builder(3, ENTRIES)?
        .peer_route(harness::PeerRoute::Pairs)
        .start_ready(LIMIT)?;
    let probe = harness::FleetProbe::new(&fleet);
    let revision = fleet.operator().state_intent(&intent(1))?;
    wait_revision(&probe, revision);
    let idle = idle_bytes(&fleet);
    let instances = f64::from(u32::try_from(probe.instances())?);
    println!(
        "idle: {:.0} B/s sent by an instance on average",
        idle / instances
    );
    let before = passed_bytes(&fleet);
    let started = time::Instant::now();
    for number in 0..SPREAD_CHANGES {
        let body = json!({ "request": format!("key-{number}"), "team": "councils", "base": 1 });
        probe.post(3, "/v1/keys", &body)?;
    }
    wait_revision(&probe, revision + SPREAD_CHANGES);
    let seconds = started.elapsed().as_secs_f64();
    let passed = passed_bytes(&fleet) - before - idle * seconds;
    let changes = f64::from(u32::try_from(SPREAD_CHANGES)?);
    println!(
        "changes: {:.0} B sent by an instance on average for each of {SPREAD_CHANGES} keys given in {seconds:.1} s",
        passed / changes / instances
    );
    Ok(())
}

fn idle_bytes(fleet: &harness::InstanceFleet) -> f64 {
    let before = passed_bytes(fleet);
    let started = time::Instant::now();
    thread::sleep(IDLE_TIME);
    (passed_bytes(fleet) - before) / started.elapsed().as_secs_f64()
}

/// Returns the bytes that passed all links in both directions.
fn passed_bytes(fleet: &harness::InstanceFleet) -> f64 {
    let positions = || 0..fleet.instances().len();
    let links = positions().flat_map(|to| {
        let froms = positions().map(Some).chain([None]);
        froms.filter_map(move |from| fleet.links().link(from, to))
    });
    let directions = [
        proxy::LinkDirection::ToServer,
        proxy::LinkDirection::ToClient,
    ];
    let bytes = links.flat_map(|link| directions.map(|direction| link.passed_bytes(direction)));
    // A run passes far fewer bytes than a float tells apart.
    #[expect(clippy::cast_precision_loss)]
    let total = bytes.sum::<u64>() as f64;
    total
}

/// Prints the figures of a distribution.
fn show(what: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let at = |per_cent: usize| {
        let position = (times.len() * per_cent).div_ceil(100).max(1) - 1;
        times.get(position).copied().unwrap_or_default()
    };
    println!(
        "{what}: {} values, p50 {:.1?}, p95 {:.1?}, p99 {:.1?}, max {:.1?}",
        times.len(),
        at(50),
        at(95),
        at(99),
        at(100)
    );
}

fn intent(rate_tokens_per_s: u64) -> Value {
    json!({
        "teams": [{
            "name": "councils", "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": 400_000,
        }],
        "services": [{
            "name": "foundry-desk", "kind": "plain", "path_prefix": "/foundry",
            "teams": ["councils"],
        }],
    })
}
