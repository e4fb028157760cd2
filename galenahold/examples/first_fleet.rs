//! Starts a whole fleet on this machine, uses it as operators and callers do, and stops it.
//!
//! Three control instances, two entry instances, two stand-in model engines behind a stand-in weight
//! store and one stand-in plain service: an intent is planned and confirmed, a cold model answers a
//! streamed request, and an order that is sent twice runs once. Run it with
//! `cargo run --release -p galenahold --example first_fleet`.

use std::env;
use std::error;
use std::process;
use std::sync;
use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::{engine, service, store};
use serde_json::json;

/// How long the fleet may take to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_mins(1);

fn main() -> process::ExitCode {
    // The example starts itself as the instances, so that it needs nothing built beside it.
    if env::args().nth(1).as_deref() == Some("serve") {
        return galenahold::run_command_line(env::args_os());
    }
    match show() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn show() -> Result<(), Box<dyn error::Error>> {
    println!("starting 3 control instances and 2 entry instances");
    let started = time::Instant::now();
    let mut fleet = harness::FleetBuilder::default()
        .binary(&env::current_exe()?)
        .control(3)
        .entries(2)
        .settings(&json!({ "timing": { "notice_ms": 200 } }))
        .start_ready(READY_LIMIT)?;
    println!("  ready after {:.0?}", started.elapsed());

    let store = sync::Arc::new(store::WeightStore::new(store::StoreSettings::default()));
    let engines = ["engine-1", "engine-2"].map(|name| {
        engine::EngineBuilder::new(name)
            .instances(&fleet.backends())
            .memory_bytes(40 << 30)
            .store(store::StoreTarget::Shared(sync::Arc::clone(&store)))
            .start()
    });
    let [first, second] = engines;
    let engines = [first?, second?];
    let handler = service::ServiceBuilder::new("desk-1", "foundry-desk")
        .instances(&fleet.backends())
        .start()?;

    let operator = fleet.operator();
    operate(&operator)?;
    let key = operator.give_key("councils")?.key;
    println!("a key for the team councils was given (it is shown once, and not here)");

    call_cold_model(&fleet, &key)?;
    let loads: usize = engines
        .iter()
        .map(|engine| engine.ledger().placements.len())
        .sum();
    println!("  the engines' ledgers show {loads} load order");
    order_twice(&fleet, &key)?;
    println!(
        "  the service's ledger shows that it ran {} time",
        handler.ledger().runs("plaque-17")
    );
    stop(&mut fleet)
}

fn operate(operator: &harness::OperatorClient) -> Result<(), Box<dyn error::Error>> {
    let intent = json!({
        "teams": [{ "name": "councils", "rate_tokens_per_s": 5_000, "burst_tokens": 20_000 }],
        "models": [{
            "name": "alama-llm", "version": "1", "bytes": 8_u64 << 30, "max_replicas": 2,
        }],
        "services": [
            { "name": "drafts", "kind": "models", "models": ["alama-llm"], "teams": ["councils"] },
            {
                "name": "foundry-desk", "kind": "plain", "path_prefix": "/foundry",
                "teams": ["councils"],
            },
        ],
    });
    let plan = operator.call_any("/v1/plans", Some(&json!({ "intent": intent })))?;
    println!("the plan against revision {}:", plan["base"]);
    for step in plan["steps"].as_array().into_iter().flatten() {
        println!("  {}", step.as_str().unwrap_or_default());
    }
    let revision = operator.state_intent(&intent)?;
    println!("confirmed: revision {revision} is in force");
    Ok(())
}

fn call_cold_model(fleet: &harness::InstanceFleet, key: &str) -> Result<(), Box<dyn error::Error>> {
    println!("asking alama-llm, which is loaded nowhere, through an entry instance");
    let entry = fleet.callers()[3];
    let asked = time::Instant::now();
    let answer = harness::FleetCaller::new(entry).key(key).chat(
        "alama-llm",
        "flood mark at the old bridge",
        8,
        true,
    )?;
    let events = answer.body.matches("data: ").count();
    println!(
        "  status {}, verdict {}, {events} events, whole after {:.0?}",
        answer.status,
        answer.verdict.unwrap_or_default(),
        asked.elapsed()
    );
    Ok(())
}

fn order_twice(fleet: &harness::InstanceFleet, key: &str) -> Result<(), Box<dyn error::Error>> {
    println!("sending one order twice under one idempotency key, through two instances");
    for instance in [3, 0] {
        let answer = harness::FleetCaller::new(fleet.callers()[instance])
            .key(key)
            .header("idempotency-key", "plaque-17")
            .post("/foundry/orders", &json!({ "order": "plaque-17" }))?;
        println!(
            "  instance {}: status {}, verdict {}, replayed {}",
            fleet.instances()[instance].name(),
            answer.status,
            answer.verdict.clone().unwrap_or_default(),
            answer.replayed
        );
    }
    Ok(())
}

fn stop(fleet: &mut harness::InstanceFleet) -> Result<(), Box<dyn error::Error>> {
    println!("stopping all instances in order");
    for instance in fleet.instances() {
        instance.terminate()?;
    }
    for instance in fleet.instances_mut() {
        let status = instance.wait_exit(READY_LIMIT);
        let code = status.and_then(|status| status.code());
        println!("  {} exited with {code:?}", instance.name());
    }
    Ok(())
}
