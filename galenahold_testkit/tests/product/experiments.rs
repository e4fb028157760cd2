//! Experiments with faults on the real product.

use std::path;

use galenahold_testkit::{deployment, experiment, load};
use serde_json::json;

fn latency_deployment() -> deployment::FleetDeployment {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../deployments/latency.json");
    deployment::FleetDeployment::read(path::Path::new(file)).expect("a deployment")
}

#[test]
fn faults_are_made_and_ledgers_read_while_a_trace_is_played() {
    let deployment = latency_deployment();
    let plan = load::TracePlan {
        duration_s: 3.0,
        scale: 0.2,
        ..load::TracePlan::default()
    };
    let trace = load::TraceGenerator::new(&deployment, &plan).generate();
    let faults = json!([
        {"at_ms": 500, "fault": "freeze_instance", "instance": "instance-3"},
        {"at_ms": 700, "fault": "thaw_instance", "instance": "instance-3"},
        {"at_ms": 800, "fault": "control_server", "server": "engine-1",
         "control": {"control": "pause", "on": true}},
        {"at_ms": 900, "fault": "control_server", "server": "engine-1",
         "control": {"control": "pause", "on": false}},
        {"at_ms": 1000, "fault": "kill_instance", "instance": "nobody"},
    ]);
    let result = experiment::ExperimentBuilder::new(deployment, "faults")
        .preload(true)
        .faults(serde_json::from_value(faults).expect("faults"))
        .run(&trace)
        .expect("a result");
    let failed: Vec<_> = result
        .faults
        .iter()
        .map(|fault| fault.error.is_some())
        .collect();
    assert_eq!(failed, [false, false, false, false, true]);
    let all = result.load.route(load::RouteKind::Through, "");
    let all = all.expect("results");
    assert!(all.answered > 0);
    assert_eq!(all.wrong, 0);
    assert_eq!(result.findings.overcommitted_bytes, 0);
    assert_eq!(result.findings.requests_with_key, 0);
    assert!(result.findings.held_accelerator_us > 0);
}
