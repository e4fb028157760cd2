//! A chain of relays: the configuration reaches its end, and ages do not add up on the way.

use std::thread;
use std::time;

use galenahold_testkit::harness;
use serde_json::json;

/// How long anything that is waited for may take.
const LIMIT: time::Duration = time::Duration::from_mins(1);

/// Instances behind each other; with one hold time a hop the last would be past its bound.
const CHAIN: usize = 9;

/// How long a configuration stays fresh, in milliseconds: less than the hops' hold times together.
const FRESHNESS_MS: u64 = 2_500;

/// How long the last instance is watched.
const WATCHED: time::Duration = time::Duration::from_secs(6);

#[test]
fn the_last_of_a_chain_of_relays_follows_and_stays_fresh() {
    let mut builder = harness::FleetBuilder::default()
        .control(3)
        .entries(CHAIN)
        .settings(&json!({ "timing": { "key_freshness_ms": FRESHNESS_MS } }));
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
    let until = time::Instant::now() + WATCHED;
    while time::Instant::now() < until {
        assert!(is_fresh_at(&fleet, last), "the last relay is stale");
        thread::sleep(time::Duration::from_millis(50));
    }
}

fn revision_at(fleet: &harness::InstanceFleet, instance: usize) -> Option<u64> {
    let address = fleet.operators()[instance];
    let answer = fleet.operator().call(address, "/v1/revision", None).ok()?;
    answer.body["revision"].as_u64()
}

fn is_fresh_at(fleet: &harness::InstanceFleet, instance: usize) -> bool {
    let address = fleet.operators()[instance];
    let answer = fleet.operator().call(address, "/v1/revision", None);
    answer.is_ok_and(|answer| answer.body["fresh"] == true)
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + LIMIT;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}
