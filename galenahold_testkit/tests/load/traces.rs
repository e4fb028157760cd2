//! Generated traces.

use std::path;

use galenahold_testkit::{deployment, load};

fn deployment() -> deployment::FleetDeployment {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../deployments/pamoja.json");
    deployment::FleetDeployment::read(path::Path::new(file)).expect("a deployment")
}

fn generate(plan: &load::TracePlan) -> load::LoadTrace {
    load::TraceGenerator::new(&deployment(), plan).generate()
}

fn count_of(trace: &load::LoadTrace, team: &str) -> usize {
    let requests = trace.requests().iter();
    requests.filter(|request| request.team == team).count()
}

#[test]
fn same_seed_gives_the_same_trace_and_another_seed_another() {
    let plan = load::TracePlan::default();
    let other = load::TracePlan {
        seed: 2,
        ..plan.clone()
    };
    assert_eq!(generate(&plan), generate(&plan));
    assert_ne!(generate(&plan), generate(&other));
}

#[test]
fn team_at_ten_times_its_rate_sends_more_and_passes_its_rate() {
    let team = "rufiji-plaques";
    let usual = load::TracePlan::default();
    let plan = load::TracePlan {
        team_factors: vec![load::TeamFactor {
            team: team.to_owned(),
            factor: 10.0,
        }],
        ..usual.clone()
    };
    let (usual, noisy) = (generate(&usual), generate(&plan));
    assert!(count_of(&noisy, team) > 5 * count_of(&usual, team));
    let outside = |trace: &load::LoadTrace| {
        let requests = trace.requests().iter();
        requests.filter(|request| !request.inside_rate).count()
    };
    assert_eq!(outside(&usual), 0);
    assert!(outside(&noisy) > 0);
}

#[test]
fn bursts_bring_most_requests_of_a_quiet_trace() {
    let plan = load::TracePlan {
        bursts: Some(load::BurstPlan {
            every_s: 5.0,
            length_s: 1.0,
            factor: 20.0,
        }),
        ..load::TracePlan::default()
    };
    let trace = generate(&plan);
    let inside = trace
        .requests()
        .iter()
        .filter(|request| request.at_us % 5_000_000 < 1_000_000)
        .count();
    assert!(2 * inside > trace.requests().len());
}

#[test]
fn written_trace_reads_back_the_same() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("trace.jsonl");
    let trace = generate(&load::TracePlan::default());
    trace.write(&file).expect("a written trace");
    assert_eq!(load::LoadTrace::read(&file).expect("a trace"), trace);
}
