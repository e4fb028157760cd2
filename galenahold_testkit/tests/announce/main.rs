//! Promises of announcements and cache events.

mod listening_instance;

use std::time;

use galenahold_testkit::{announce, control, engine, service};
use serde_json::json;

use listening_instance::ListeningInstance;

/// Milliseconds between announcements in these tests.
const INTERVAL_MS: u64 = 20;

#[test]
fn engine_announces_what_it_holds_to_each_instance_in_turn() {
    let instances = [ListeningInstance::start(), ListeningInstance::start()];
    let engine = engine::EngineBuilder::new("engine-1")
        .instances(&[instances[0].address(), instances[1].address()])
        .announce_interval_ms(INTERVAL_MS)
        .data_centre("pwani-1")
        .checks_fencing(true)
        .model("llm", "3", 1_000)
        .start()
        .expect("an engine");
    let first: announce::Announcement = instances[0].next();
    let second: announce::Announcement = instances[1].next();
    assert_eq!(first.address, engine.address());
    assert_eq!(first.incarnation, engine.incarnation());
    assert_eq!((first.sequence, second.sequence), (1, 2));
    assert_eq!(first.kind, announce::ServerKind::Engine);
    assert_eq!(first.data_centre, "pwani-1");
    assert!(first.checks_fencing);
    assert_eq!(first.loaded[0].model, "llm");
    assert_eq!(first.loaded[0].state, announce::ReplicaState::Ready);
    assert_eq!(first.cached[0].tier, announce::CacheTier::Disk);
}

#[test]
fn leaving_service_says_so_and_silent_service_says_nothing() {
    let instance = ListeningInstance::start();
    let service = service::ServiceBuilder::new("desk-1", "foundry-desk")
        .instances(&[instance.address()])
        .announce_interval_ms(INTERVAL_MS)
        .start()
        .expect("a service");
    let first: announce::Announcement = instance.next();
    assert_eq!(first.service.as_deref(), Some("foundry-desk"));
    assert!(!first.leaving);
    service.control(&control::ServerControl::Leave);
    instance.next_where(|announcement: &announce::Announcement| announcement.leaving);
    service.control(&control::ServerControl::Announce { on: false });
    instance.wait_silent(time::Duration::from_millis(10 * INTERVAL_MS));
}

#[test]
fn cache_events_tell_the_blocks_and_lost_ones_leave_a_gap() {
    let instance = ListeningInstance::start();
    let engine = engine::EngineBuilder::new("engine-1")
        .instances(&[instance.address()])
        .announce_interval_ms(60_000)
        .model("llm", "1", 1_000)
        .start()
        .expect("an engine");
    let _: announce::Announcement = instance.next();
    let ask = |prompt: &str| {
        let url = format!("http://{}/v1/completions", engine.address());
        let body = json!({"model": "llm", "prompt": prompt, "max_tokens": 1});
        ureq::post(url).send_json(&body).expect("an answer");
    };
    let prompt = "a".repeat(130);
    ask(&prompt);
    let event: announce::CacheEvent = instance.next();
    let expected: Vec<_> = engine::block_hashes(&prompt)
        .iter()
        .map(|hash| format!("{hash:016x}"))
        .collect();
    assert_eq!(event.stored, expected);
    assert_eq!(expected.len(), 2);
    engine.control(&control::ServerControl::DropCacheEvents { count: 1 });
    ask(&"b".repeat(64));
    ask(&"c".repeat(64));
    let later: announce::CacheEvent = instance.next();
    assert_eq!(later.sequence, event.sequence + 2);
}
