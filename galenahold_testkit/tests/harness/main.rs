//! Promises of the process harness, tried on a stand-in for the product.

mod standins;

use std::path;
use std::time;

use galenahold_testkit::{TestkitError, harness, proxy};
use serde_json::json;

/// Limit on starts and ends.
const LIMIT: time::Duration = time::Duration::from_secs(20);

fn builder() -> harness::FleetBuilder {
    let binary = path::Path::new(env!("CARGO_BIN_EXE_galenahold-standin"));
    harness::FleetBuilder::default().binary(binary)
}

fn is_alive(id: u32) -> bool {
    path::Path::new("/proc").join(id.to_string()).exists()
}

#[test]
fn started_fleet_is_ready_and_gone_after_its_drop() {
    let fleet = builder().control(2).entries(1).start_ready(LIMIT);
    let fleet = fleet.expect("a ready fleet");
    let instances = fleet.instances().iter();
    let ids: Vec<_> = instances.filter_map(harness::InstanceProcess::id).collect();
    assert_eq!(ids.len(), 3);
    assert!(ids.iter().all(|&id| is_alive(id)));
    assert!(fleet.instances()[0].log().contains("instance-1"));
    let folder = fleet.folder().to_owned();
    drop(fleet);
    assert!(!ids.iter().any(|&id| is_alive(id)));
    assert!(!folder.exists());
}

#[test]
fn instances_are_reaped_when_a_test_panics() {
    let fleet = builder().control(1).start_ready(LIMIT).expect("a fleet");
    let id = fleet.instances()[0].id().expect("a process");
    let outcome = std::panic::catch_unwind(move || {
        assert!(fleet.instances().is_empty(), "on purpose");
    });
    assert!(outcome.is_err());
    assert!(!is_alive(id));
}

#[test]
fn killed_instance_restarts_at_its_addresses() {
    let mut fleet = builder().control(1).start_ready(LIMIT).expect("a fleet");
    let instance = &mut fleet.instances_mut()[0];
    let before = (instance.id(), *instance.addresses());
    instance.kill();
    assert!(!instance.is_ready());
    instance.start().expect("a restart");
    instance.wait_ready(LIMIT).expect("a ready instance");
    assert_ne!(instance.id(), before.0);
    assert_eq!(*instance.addresses(), before.1);
}

#[test]
fn frozen_instance_is_silent_until_thawed_and_ends_when_asked() {
    let mut fleet = builder().control(1).start_ready(LIMIT).expect("a fleet");
    let instance = &mut fleet.instances_mut()[0];
    instance.freeze().expect("a freeze");
    assert!(!instance.is_ready());
    instance.thaw().expect("a thaw");
    instance.wait_ready(LIMIT).expect("a ready instance");
    instance.terminate().expect("a signal");
    assert!(instance.wait_exit(LIMIT).is_some());
    assert!(instance.terminate().is_err());
}

#[test]
fn instance_that_ends_early_is_reported_with_its_log() {
    let over = json!({"listen": {"platform": "nowhere"}});
    let fleet = builder().control(1).settings(&over).start_ready(LIMIT);
    let error = fleet.expect_err("no ready fleet");
    assert!(matches!(error, TestkitError::NotReady { .. }));
    assert!(error.to_string().contains("listen.platform"), "{error}");
}

#[test]
fn settings_name_peers_by_their_links() {
    let over = json!({"timing": {"heartbeat_ms": 50}});
    let fleet = builder()
        .control(3)
        .entries(1)
        .peer_route(harness::PeerRoute::Pairs)
        .settings(&over)
        .start_ready(LIMIT)
        .expect("a fleet");
    let link = fleet.links().link(Some(0), 1).expect("a link");
    let settings = fleet.instances()[0].settings();
    assert_eq!(settings["peers"][0]["name"], "instance-2");
    assert_eq!(settings["peers"][0]["address"], json!(link.address()));
    assert_eq!(settings["timing"]["heartbeat_ms"], 50);
    assert_eq!(settings["instance"]["roles"], json!(["entry", "control"]));
    let entry = fleet.instances()[3].settings();
    assert_eq!(entry["peers"].as_array().map(Vec::len), Some(3));
    assert!(entry.get("data_folder").is_none());
    fleet.links().isolate(0, proxy::LinkFault::cut());
    fleet.links().heal();
}

#[test]
fn instance_that_ends_while_others_wait_for_it_is_reported_at_once() {
    let mut fleet = builder().control(2).start().expect("a fleet");
    fleet.instances()[0].freeze().expect("a freeze");
    fleet.instances_mut()[1].kill();
    let error = fleet.wait_ready(LIMIT).expect_err("no ready fleet");
    assert!(
        matches!(error, TestkitError::NotReady { ended: true, .. }),
        "{error}"
    );
}
