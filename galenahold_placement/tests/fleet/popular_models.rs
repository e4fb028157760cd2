//! Copies of popular models: how many, and where.

use std::time;

use galenahold_domain::{fleet as domain, name};
use galenahold_placement::fleet;

use crate::fixture;

const STEP: time::Duration = time::Duration::from_millis(100);

fn record(server: &str, centre: &str, models: &[&str]) -> domain::ServerRecord {
    let mut record = fixture::record(server, models, &["a", "b", "c", "d"]);
    record.data_centre = name::DataCentreName::from(centre);
    record
}

/// Reports requests for the models that run at once, every 100 ms, and returns the loads that are
/// ordered; none of them is executed.
fn request(
    planner: &mut fleet::FleetPlanner,
    records: &[domain::ServerRecord],
    arrivals: &[(&str, u32)],
    steps: u32,
    now: &mut time::Instant,
) -> Vec<(String, String)> {
    let mut loads = Vec::new();
    for _ in 0..steps {
        *now += STEP;
        for (model, count) in arrivals {
            let counts = fleet::DemandCounts {
                arrivals: *count,
                ..fleet::DemandCounts::default()
            };
            let key = (fixture::service(), fixture::model_name(model));
            planner.record_demand(&name::InstanceName::from("entry"), key, counts, *now);
        }
        let step = fixture::plan(planner, records, *now);
        loads.extend(
            step.decisions
                .iter()
                .map(|decision| (decision.server.to_string(), decision.model.to_string())),
        );
    }
    loads
}

/// Guards against rejecting the calls of a model for seconds after it became popular: from 0 to 20 calls
/// per second, the mean over 4 s takes more than a second to exceed what one engine carries.
#[test]
fn jump_of_the_rate_is_seen_within_a_second() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = ["s1", "s2", "s3"].map(|server| {
        let models: &[&str] = if server == "s1" { &["a"] } else { &["b"] };
        record(server, "one", models)
    });
    let loads = request(&mut planner, &records, &[("a", 2)], 10, &mut now);
    let copies = loads.iter().filter(|(_, model)| model == "a").count();
    assert_eq!(copies, 2, "{loads:?}");
}

#[test]
fn few_calls_that_meet_by_chance_are_no_jump() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [record("s1", "one", &["a"]), record("s2", "one", &["b"])];
    let mut loads = request(&mut planner, &records, &[("a", 1)], 4, &mut now);
    loads.extend(request(&mut planner, &records, &[], 20, &mut now));
    loads.retain(|(_, model)| model == "a");
    assert_eq!(loads, []);
}

/// Guards against a popular model that is lost with its only engine: on a day of fleet T its callers
/// were rejected for 17 s.
#[test]
fn popular_model_gets_a_second_copy_in_another_data_centre_on_a_fast_engine_of_its_own() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        record("s1", "one", &["a"]),
        record("s2", "one", &["d"]),
        record("s3", "two", &["b"]),
        record("s4", "two", &["d"]),
        record("s5", "two", &["d"]),
        record("s6", "one", &["b"]),
    ];
    fixture::plan(&mut planner, &records, now);
    for (server, factor) in [("s2", 0.8), ("s3", 0.3), ("s4", 1.6), ("s5", 0.9)] {
        planner.record_pace(&name::ServerName::from(server), 1, factor);
    }
    let loads = request(&mut planner, &records, &[("a", 12), ("b", 12)], 1, &mut now);
    let copies: Vec<_> = loads.iter().filter(|(_, model)| model == "a").collect();
    assert_eq!(
        copies.first().map(|(server, _)| server.as_str()),
        Some("s5"),
        "{loads:?}"
    );
}

/// Guards against the loss of a popular model whose rate one engine carries, where all are equally busy.
#[test]
fn popular_model_gets_a_second_copy_although_its_engine_is_not_busier_than_others() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        record("s1", "one", &["a"]),
        record("s2", "one", &["b"]),
        record("s3", "one", &["c"]),
        record("s4", "one", &["d"]),
        record("s5", "two", &[]),
    ];
    let calls = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];
    let mut loads = Vec::new();
    for _ in 0..30 {
        loads.extend(request(&mut planner, &records, &calls, 1, &mut now));
        loads.extend(request(&mut planner, &records, &[], 2, &mut now));
    }
    assert!(!loads.is_empty());
}

/// Guards against copies on slow engines that count like others and cannot carry the rate.
#[test]
fn copies_on_slow_engines_are_joined_by_a_further_one() {
    for (factor, expected) in [(1.0, false), (2.0, true)] {
        let mut now = time::Instant::now();
        let mut planner = fleet::FleetPlanner::default();
        let records = [
            record("s1", "one", &["a"]),
            record("s2", "two", &["a"]),
            record("s3", "one", &["d"]),
        ];
        fixture::plan(&mut planner, &records, now);
        for server in ["s1", "s2"] {
            planner.record_pace(&name::ServerName::from(server), 1, factor);
        }
        let mut loads = Vec::new();
        for _ in 0..60 {
            loads.extend(request(&mut planner, &records, &[("a", 1)], 1, &mut now));
            loads.extend(request(&mut planner, &records, &[], 1, &mut now));
            loads.extend(request(
                &mut planner,
                &records,
                &[("a", 1), ("d", 1)],
                1,
                &mut now,
            ));
            loads.extend(request(&mut planner, &records, &[], 1, &mut now));
        }
        let joined = loads.iter().any(|(_, model)| model == "a");
        assert_eq!(joined, expected, "factor {factor}: {loads:?}");
    }
}

/// Guards against copies that are evicted for one waiting call and loaded again at once.
#[test]
fn second_copy_of_a_popular_model_is_not_evicted_for_one_rare_call() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        record("s1", "one", &["a", "b"]),
        record("s2", "two", &["a", "b"]),
    ];
    for _ in 0..8 {
        request(&mut planner, &records, &[("a", 3), ("b", 3)], 1, &mut now);
        request(&mut planner, &records, &[], 9, &mut now);
    }
    fixture::report_waiting(&mut planner, "c", now);
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(step.orders, []);
}

/// Guards against the pace of an earlier start: a server may start again on another machine.
#[test]
fn pace_of_an_earlier_start_is_ignored() {
    let mut now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records = [
        record("s1", "one", &["a"]),
        record("s2", "two", &["a"]),
        record("s3", "one", &["d"]),
    ];
    fixture::plan(&mut planner, &records, now);
    for server in ["s1", "s2"] {
        planner.record_pace(&name::ServerName::from(server), 0, 4.0);
    }
    let mut loads = request(&mut planner, &records, &[("a", 1), ("d", 1)], 1, &mut now);
    for _ in 0..60 {
        loads.extend(request(&mut planner, &records, &[("a", 1)], 1, &mut now));
        loads.extend(request(&mut planner, &records, &[], 1, &mut now));
        loads.extend(request(
            &mut planner,
            &records,
            &[("a", 1), ("d", 1)],
            1,
            &mut now,
        ));
        loads.extend(request(&mut planner, &records, &[], 1, &mut now));
    }
    loads.retain(|(_, model)| model == "a");
    assert_eq!(loads, []);
}
