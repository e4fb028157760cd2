//! Limit on concurrent loads from the weight store.
//!
//! Most tests request many rare models at once while no engine has a copy of any.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_placement::fleet;

use crate::fixture;

const MODELS: usize = 24;

/// Time between two planning rounds.
const STEP: time::Duration = time::Duration::from_millis(100);

/// Duration of one load at full speed.
const FULL_SPEED: time::Duration = time::Duration::from_secs(6);

/// Load in progress.
struct Fetch {
    engine: usize,
    model: String,
    done_at: time::Instant,
}

/// Engines with a weight store that handles a few loads at full speed. A load that starts while
/// more are in progress is slower in proportion.
struct StoreModel {
    full_speed_loads: usize,
    planner: fleet::FleetPlanner,
    engine: declaration::DeclaredEngine,
    records: Vec<domain::ServerRecord>,
    fetches: Vec<Fetch>,
    now: time::Instant,
    /// Highest number of concurrent loads in the last run.
    max_fetches: usize,
    done: usize,
    /// Whether all models are requested.
    requested: bool,
    /// Whether the loads of one round start in the reverse order of the plan.
    reversed: bool,
}

impl StoreModel {
    fn new(full_speed_loads: usize) -> Self {
        let mut engine = fixture::engine();
        engine.models = model_names().map(|name| fixture::model(&name)).collect();
        let records = (0..MODELS).map(|number| record(number, &[]));
        Self {
            full_speed_loads,
            planner: fleet::FleetPlanner::default(),
            engine,
            records: records.collect(),
            fetches: Vec::new(),
            now: time::Instant::now(),
            max_fetches: 0,
            done: 0,
            requested: true,
            reversed: false,
        }
    }

    /// Simulates the given time while all models are requested.
    fn run(&mut self, span: time::Duration) {
        let until = self.now + span;
        self.max_fetches = 0;
        while self.now < until {
            self.now += STEP;
            self.finish();
            for name in model_names().filter(|_| self.requested) {
                fixture::report_waiting(&mut self.planner, &name, self.now);
            }
            self.order();
            self.max_fetches = self.max_fetches.max(self.fetches.len());
        }
    }

    fn finish(&mut self) {
        let now = self.now;
        for fetch in self.fetches.extract_if(.., |fetch| fetch.done_at <= now) {
            self.records[fetch.engine] = record(fetch.engine, &[&fetch.model]);
            self.done += 1;
        }
    }

    fn order(&mut self) {
        let service = fixture::service();
        let records = self.records.iter();
        let mut step = self.planner.plan(&service, &self.engine, records, self.now);
        if self.reversed {
            step.orders.reverse();
        }
        for order in step.orders {
            if !matches!(order.action, fleet::OrderAction::LoadModel(_)) {
                continue;
            }
            let concurrent_loads = u32::try_from(self.fetches.len() + 1).expect("a few loads");
            let full_speed = u32::try_from(self.full_speed_loads).expect("a few loads");
            let duration = FULL_SPEED * concurrent_loads.max(full_speed) / full_speed;
            let engine = self.records.iter();
            let engine = engine.map(|record| &record.name);
            self.fetches.push(Fetch {
                engine: engine
                    .enumerate()
                    .find(|(_, name)| **name == order.server)
                    .map(|(index, _)| index)
                    .expect("orders go to known engines"),
                model: order.action.model().to_string(),
                done_at: self.now + duration,
            });
        }
    }
}

fn model_names() -> impl Iterator<Item = String> {
    (0..MODELS).map(|number| format!("m{number}"))
}

fn record(number: usize, models: &[&str]) -> domain::ServerRecord {
    let server = format!("s{number}");
    fixture::record(&server, models, models)
}

#[test]
fn store_that_handles_two_loads_at_full_speed_soon_gets_no_more() {
    let mut store = StoreModel::new(2);
    store.run(FULL_SPEED * 3);
    store.run(FULL_SPEED * 4);
    assert!(
        store.max_fetches <= 3,
        "{} concurrent loads",
        store.max_fetches
    );
    assert!(store.done >= 12, "{} loads completed in 42 s", store.done);
}

#[test]
fn first_loads_of_a_leader_complete_in_the_declared_time() {
    let mut store = StoreModel::new(2);
    store.run(FULL_SPEED + STEP * 2);
    assert_eq!(store.done, 2);
}

#[test]
fn store_that_handles_more_loads_at_full_speed_gets_more() {
    let mut store = StoreModel::new(4);
    store.run(FULL_SPEED * 3);
    store.run(FULL_SPEED * 2);
    assert!(
        store.max_fetches >= 4,
        "{} concurrent loads",
        store.max_fetches
    );
}

#[test]
fn load_at_a_departed_engine_does_not_count_against_the_limit() {
    let mut store = StoreModel::new(2);
    store.run(STEP * 2);
    assert_eq!(store.fetches.len(), 2);
    let departed: Vec<_> = store.fetches.drain(..).map(|fetch| fetch.engine).collect();
    for engine in departed {
        // A machine that starts again has another name.
        store.records[engine] = fixture::record(&format!("t{engine}"), &[], &[]);
    }
    store.run(STEP * 2);
    assert_eq!(store.fetches.len(), 2);
}

/// Guards against exceeding the store's limit when engines leave orders unanswered and execute them
/// late.
#[test]
fn unanswered_store_load_counts_against_the_limit_while_it_may_be_executed() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records: Vec<_> = (0..6).map(|number| record(number, &[])).collect();
    for model in ["a", "b", "c", "d"] {
        fixture::report_waiting(&mut planner, model, now);
    }
    let step = fixture::plan(&mut planner, &records, now);
    assert_eq!(step.orders.len(), 2);
    let bytes = amount::ByteCount(fixture::WEIGHTS);
    for order in &step.orders {
        planner.apply_receipt(order, fleet::OrderReceipt::Unanswered, bytes, now);
    }
    let later = now + time::Duration::from_secs(2);
    for model in ["a", "b", "c", "d"] {
        fixture::report_waiting(&mut planner, model, later);
    }
    assert_eq!(
        fixture::actions(&fixture::plan(&mut planner, &records, later)),
        []
    );
}

/// Guards against fetching a further copy of a model with growing demand while its first copy is
/// still loading, which would delay another model.
#[test]
fn further_copy_is_not_fetched_while_the_first_is_still_loading() {
    let now = time::Instant::now();
    let mut planner = fleet::FleetPlanner::default();
    let records: Vec<_> = (0..6).map(|number| record(number, &[])).collect();
    fixture::report_waiting(&mut planner, "a", now);
    let first = fixture::plan(&mut planner, &records, now);
    assert_eq!(fixture::actions(&first).len(), 1);
    let later = now + STEP;
    for _ in 0..40 {
        fixture::report_waiting(&mut planner, "a", later);
    }
    fixture::report_waiting(&mut planner, "b", later);
    let second = fixture::plan(&mut planner, &records, later);
    let models: Vec<_> = second
        .orders
        .iter()
        .map(|order| order.action.model().to_string())
        .collect();
    assert_eq!(models, ["b"]);
}

/// Guards against a limit that the order of the plan raises: of loads that were ordered together, the
/// first to start counted as the last. On a day of fleet T, a load of 7.8 s was recorded as the fourth
/// of four and raised the limit to 5, although the store handles two at full speed.
#[test]
fn loads_that_start_in_another_order_than_planned_do_not_raise_the_limit() {
    let mut store = StoreModel::new(2);
    store.reversed = true;
    let mut max_fetches = 0;
    for _ in 0..6 {
        store.run(FULL_SPEED * 2);
        max_fetches = max_fetches.max(store.max_fetches);
    }
    assert!(max_fetches <= 3, "{max_fetches} concurrent loads");
    assert!(store.done >= 22, "{} loads completed in 72 s", store.done);
}

/// Guards against a store that is still occupied by four slow loads, which no request waits for, when
/// the first requests arrive.
#[test]
fn cold_start_leaves_the_store_free_for_the_first_requests() {
    let mut store = StoreModel::new(2);
    store.requested = false;
    store.run(FULL_SPEED * 4);
    assert_eq!(store.max_fetches, 2);
}
