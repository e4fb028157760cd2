//! Loads through the weight store.

use std::sync;
use std::thread;

use galenahold_testkit::{engine, store};

use crate::caller;

#[test]
fn loads_of_all_engines_count_at_the_shared_store() {
    let settings = store::StoreSettings {
        starts_per_second: 1_000.0,
        bytes_per_second: 1_000,
        ..store::StoreSettings::default()
    };
    let store = sync::Arc::new(store::WeightStore::new(settings));
    let start = |name: &str| {
        let target = store::StoreTarget::Shared(sync::Arc::clone(&store));
        let builder = engine::EngineBuilder::new(name).store(target);
        builder.start().expect("an engine")
    };
    let (first, second) = (start("engine-1"), start("engine-2"));
    store.stall(true);
    thread::scope(|scope| {
        scope.spawn(|| caller::load(first.address(), "a", 10, "1.1"));
        scope.spawn(|| caller::load(second.address(), "a", 10, "1.2"));
        caller::wait_until("two stalled loads", || store.counts().loads_in_flight == 2);
        assert_eq!(first.ledger().loads_in_flight, 1);
        store.stall(false);
    });
    assert_eq!(store.counts().loads_in_flight, 0);
    assert_eq!(store.counts().peak_loads_in_flight, 2);
    assert_eq!(first.ledger().placements[0].status, Some(200));
}

#[test]
fn store_process_serves_an_engine() {
    let store = sync::Arc::new(store::WeightStore::new(store::StoreSettings::default()));
    let listen = engine::EngineSettings::default().listen;
    let process = store::StoreProcess::start(store, listen).expect("a store");
    let target = store::StoreTarget::Remote(process.address());
    let engine = engine::EngineBuilder::new("engine-1").store(target);
    let engine = engine.start().expect("an engine");
    assert_eq!(caller::load(engine.address(), "a", 10, "1.1"), 200);
    assert_eq!(process.store().counts().loads_started, 1);
    assert_eq!(caller::load(engine.address(), "a", 10, "1.2"), 200);
    assert_eq!(process.store().counts().loads_started, 1);
}

#[test]
fn adapter_loads_beyond_the_limit_slow_each_other() {
    let settings = store::StoreSettings {
        full_speed_adapters: 2,
        adapter_min_ms: 20,
        adapter_max_ms: 20,
        ..store::StoreSettings::default()
    };
    let store = sync::Arc::new(store::WeightStore::new(settings));
    let target = store::StoreTarget::Shared(sync::Arc::clone(&store));
    let engine = engine::EngineBuilder::new("engine-1").model("a", "1", 1);
    let engine = engine.store(target).start().expect("an engine");
    let address = engine.address();
    store.stall(true);
    thread::scope(|scope| {
        for adapter in 0..6 {
            scope.spawn(move || {
                let name = format!("adapter-{adapter}");
                let body = serde_json::json!({"lora_name": name, "base_model_name": "a"});
                caller::post(address, "/v1/load_lora_adapter", &[], &body)
            });
        }
        caller::wait_until("six loads", || store.counts().adapters_in_flight == 6);
        store.stall(false);
    });
    let placements = engine.ledger().placements.into_iter();
    let quickest = placements
        .filter_map(|order| Some(order.ended_us? - order.received_us))
        .min();
    // Three times as many as run at full speed take at least three times as long.
    assert!(quickest >= Some(60_000), "{quickest:?}");
    assert_eq!(engine.loaded().len(), 7);
}
