//! Order of loads by the calls that they serve in time.

use std::time;

use galenahold_domain::{fleet as domain, name};
use galenahold_placement::fleet;

use crate::fixture;

const MS: time::Duration = time::Duration::from_millis(1);

/// Records a report of one instance: requests that arrived, and the due and leave times of those that
/// wait, in milliseconds.
fn report(
    planner: &mut fleet::FleetPlanner,
    model: &str,
    arrivals: u32,
    calls: &[(u32, u32)],
    now: time::Instant,
) {
    let waiting_calls = calls.iter().map(|(due, leaves)| fleet::WaitingCall {
        due_in: MS * *due,
        leaves_in: MS * *leaves,
    });
    let counts = fleet::DemandCounts {
        arrivals,
        waiting: u32::try_from(calls.len()).expect("a few calls"),
        running: 0,
        waiting_calls: waiting_calls.collect(),
    };
    let key = (fixture::service(), fixture::model_name(model));
    planner.record_demand(&name::InstanceName::from("entry"), key, counts, now);
}

/// Reports that requests for the model run at the engines that hold it.
fn report_running(
    planner: &mut fleet::FleetPlanner,
    model: &str,
    running: u32,
    now: time::Instant,
) {
    let counts = fleet::DemandCounts {
        arrivals: 1,
        running,
        ..fleet::DemandCounts::default()
    };
    let key = (fixture::service(), fixture::model_name(model));
    planner.record_demand(&name::InstanceName::from("entry"), key, counts, now);
}

fn loaded(step: &fleet::PlanStep) -> Vec<String> {
    let orders = step.orders.iter();
    let loads = orders.filter(|order| matches!(order.action, fleet::OrderAction::LoadModel(_)));
    loads
        .map(|order| order.action.model().to_string())
        .collect()
}

/// Guards against loads ordered by the number of waiting calls. On a day of fleet I, calls of
/// `ledger-bulk` waited up to 16.4 s: models with two calls that had time overtook one whose only call
/// was about to miss its objective.
#[test]
fn call_about_to_miss_its_objective_goes_before_more_calls_with_time() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a"], &["a", "b", "c"])];
    report(
        &mut planner,
        "b",
        2,
        &[(16_000, 30_000), (17_000, 30_000)],
        now,
    );
    report(&mut planner, "c", 1, &[(2_100, 20_000)], now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(loaded(&step), ["c"]);
    let decision = step.decisions.first().expect("the decision is recorded");
    assert_eq!(decision.waiting, 1);
    assert_eq!(decision.earliest_due, Some(MS * 2_100));
}

#[test]
fn calls_that_can_still_be_on_time_go_before_more_calls_that_are_late() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a"], &["a", "b", "c"])];
    report(&mut planner, "b", 2, &[(0, 30_000), (0, 30_000)], now);
    report(&mut planner, "c", 1, &[(2_100, 20_000)], now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(loaded(&step), ["c"]);
}

/// Guards against evicting a model for callers that leave before the load ends: 2 s from the disk, 6 s
/// from the store.
#[test]
fn nothing_is_evicted_for_calls_that_will_have_left() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a", "d"], &["b"])];
    fixture::plan(&mut planner, &records, now);
    now += MS * 5_000;
    report(&mut planner, "b", 1, &[(0, 1_900)], now);
    report(&mut planner, "c", 1, &[(0, 5_900)], now);
    assert_eq!(fixture::plan(&mut planner, &records, now).orders, []);
    report(&mut planner, "c", 1, &[(0, 6_200)], now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(step.decisions.len(), 1);
    assert_eq!(step.decisions[0].model, fixture::model_name("c"));
    assert!(step.decisions[0].from_store);
}

/// Guards against evicting a model with running requests, for which the unload waits: on a day of fleet
/// I, a tenth of all unloads took 2.6 s or more.
#[test]
fn model_without_runs_is_evicted_although_it_is_requested_more_often() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a", "b"], &["a", "b", "c"])];
    fixture::plan(&mut planner, &records, now);
    now += MS * 5_000;
    report_running(&mut planner, "a", 1, now);
    for _ in 0..3 {
        fixture::report_request(&mut planner, "b", now);
    }
    report(&mut planner, "c", 1, &[(3_000, 20_000)], now);
    report(&mut planner, "c", 1, &[(3_000, 20_000)], now);
    let step = fixture::plan(&mut planner, &records, now);
    let unload = fleet::OrderAction::UnloadModel(fixture::model_name("b"));
    assert_eq!(fixture::actions(&step), [("s1".to_owned(), unload)]);
}

/// Guards against evicting for a call that leaves while the unload waits for runs.
#[test]
fn wait_for_runs_counts_as_load_time() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [fixture::record("s1", &["a", "b"], &["a", "b", "c"])];
    fixture::plan(&mut planner, &records, now);
    now += MS * 5_000;
    for model in ["a", "b"] {
        report_running(&mut planner, model, 1, now);
    }
    report(&mut planner, "c", 1, &[(500, 2_500)], now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(fixture::actions(&step), []);
}

/// Guards against models that are evicted long before the store can load another one in their place.
#[test]
fn no_more_models_are_evicted_than_the_store_can_replace() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = full_engines();
    plan_six_models(&mut planner, &records, now);
    now += MS * 5_000;
    for model in ["c", "d", "e", "f"] {
        report(&mut planner, model, 1, &[(3_000, 25_000)], now);
    }
    let step = plan_six_models(&mut planner, &records, now);
    assert_eq!(step.orders.len(), 2);
    now += MS * 50;
    let step = plan_six_models(&mut planner, &records, now);
    assert_eq!(step.orders, []);
}

/// Returns engines that are full, and none of which has a copy of another model.
fn full_engines() -> Vec<domain::ServerRecord> {
    let servers = ["s1", "s2", "s3", "s4"].iter();
    servers
        .map(|server| fixture::record(server, &["a", "b"], &["a", "b"]))
        .collect()
}

fn plan_six_models(
    planner: &mut fleet::FleetPlanner,
    records: &[domain::ServerRecord],
    now: time::Instant,
) -> fleet::PlanStep {
    let mut engine = fixture::engine();
    engine.models = ["a", "b", "c", "d", "e", "f"].map(fixture::model).into();
    planner.plan(&fixture::service(), &engine, records.iter(), now)
}

/// Guards against a popular model that waits for the store behind rare ones. On a day of fleet T, a
/// model with 8 calls per second lost its only engine and got its load 17 s later, after two rare models
/// with one caller each: its callers were rejected at once, so that no call waited for it.
#[test]
fn popular_model_without_waiting_calls_gets_the_store_before_prepared_rare_ones() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let mut records = full_engines();
    plan_six_models(&mut planner, &records, now);
    now += MS * 5_000;
    for model in ["c", "d"] {
        report(&mut planner, model, 1, &[(3_000, 25_000)], now);
    }
    let step = plan_six_models(&mut planner, &records, now);
    let evictions: Vec<_> = step.orders.iter().map(|order| &order.server).collect();
    assert_eq!(evictions.len(), 2, "{step:?}");
    for record in &mut records {
        if evictions.contains(&&record.name) {
            record.models.remove(0);
        }
    }
    // The calls of the popular model are rejected at once.
    now += MS * 500;
    report(&mut planner, "e", 32, &[], now);
    let step = plan_six_models(&mut planner, &records, now);
    assert_eq!(
        loaded(&step).first().map(String::as_str),
        Some("e"),
        "{step:?}"
    );
}
