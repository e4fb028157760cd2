//! A chain of relays: the configuration reaches its end, and ages do not add up on the way.

use std::thread;
use std::time;

use galenahold_testkit::harness;
use serde_json::json;

/// How long anything that is waited for may take.
const LIMIT: time::Duration = time::Duration::from_mins(1);

/// Instances behind each other.
const CHAIN: usize = 9;

/// The most that the chain may add to the age: one hold time. Were each hop to hold its answers for
/// itself, nine would add several.
const ADDED_AGE_MS: u64 = 400;

/// Ages that are read of one instance.
const SAMPLES: usize = 41;

/// Pause between two of them; no divisor of the hold time.
const SAMPLE_PAUSE: time::Duration = time::Duration::from_millis(73);

#[test]
fn the_last_of_a_chain_of_relays_follows_and_ages_do_not_add_up() {
    let mut builder = harness::FleetBuilder::default().control(3).entries(CHAIN);
    // Each entry instance but the first takes its configuration from the one before it.
    for place in 1..CHAIN {
        let instance = 3 + place;
        builder = builder.relay(instance, instance - 1);
    }
    let fleet = builder.start_ready(LIMIT).expect("the fleet starts");
    let last = 3 + CHAIN - 1;
    let revision = fleet
        .operator()
        .state_intent(&json!({
            "teams": [{ "name": "councils", "rate_tokens_per_s": 10, "burst_tokens": 100 }],
        }))
        .expect("the intent is valid");
    wait_until("the configuration reaches the last relay", || {
        revision_at(&fleet, last) == Some(revision)
    });
    let added = median_age_ms(&fleet, last).saturating_sub(median_age_ms(&fleet, 3));
    println!("{added} ms are added along the chain");
    assert!(added < ADDED_AGE_MS, "{added} ms are added along the chain");
}

/// Returns the median age of the configuration at an instance, in milliseconds.
fn median_age_ms(fleet: &harness::InstanceFleet, instance: usize) -> u64 {
    let mut ages: Vec<u64> = (0..SAMPLES)
        .map(|_| {
            thread::sleep(SAMPLE_PAUSE);
            age_at(fleet, instance)
        })
        .collect();
    ages.sort_unstable();
    ages[SAMPLES / 2]
}

fn age_at(fleet: &harness::InstanceFleet, instance: usize) -> u64 {
    let address = fleet.operators()[instance];
    let answer = fleet.operator().call(address, "/v1/revision", None);
    let answer = answer.expect("the instance answers");
    answer.body["age_ms"]
        .as_u64()
        .expect("it has a configuration")
}

fn revision_at(fleet: &harness::InstanceFleet, instance: usize) -> Option<u64> {
    let address = fleet.operators()[instance];
    let answer = fleet.operator().call(address, "/v1/revision", None).ok()?;
    answer.body["revision"].as_u64()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + LIMIT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}
