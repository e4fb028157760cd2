//! Figures that are read off ledgers.

use galenahold_testkit::ledger;

/// Memory of the engines in these tests.
const CAPACITY_BYTES: u64 = 100;

fn event(at_us: u64, model: &str, held: u64) -> ledger::ReplicaEvent {
    ledger::ReplicaEvent {
        at_us,
        model: model.to_owned(),
        held,
        model_bytes: 50 * held,
        memory_bytes: 50 * held,
    }
}

fn request(model: &str, started_us: u64, ended_us: Option<u64>) -> ledger::RequestRecord {
    ledger::RequestRecord {
        request_id: String::new(),
        method: "POST".to_owned(),
        path: "/v1/completions?key=secret".to_owned(),
        headers: vec![ledger::HeaderRecord {
            name: "cookie".to_owned(),
            value: "session=other".to_owned(),
        }],
        team: None,
        model: model.to_owned(),
        base_model: model.to_owned(),
        priority: 0,
        resume_offset: 0,
        started_us,
        ended_us,
        outcome: ledger::RequestOutcome::Finished,
        prompt_tokens: 0,
        cached_tokens: 0,
        output_tokens: 0,
    }
}

fn ledger_of(
    replicas: Vec<ledger::ReplicaEvent>,
    requests: Vec<ledger::RequestRecord>,
) -> ledger::LedgerSnapshot {
    ledger::LedgerSnapshot {
        capacity_bytes: CAPACITY_BYTES,
        replicas,
        requests,
        ..ledger::LedgerSnapshot::default()
    }
}

#[test]
fn idle_time_is_what_overlapping_requests_leave_of_held_time() {
    let replicas = vec![event(1_000, "a", 1), event(2_000, "a", 0)];
    let requests = vec![
        request("a", 1_100, Some(1_300)),
        request("a", 1_200, Some(1_400)),
        request("b", 1_500, Some(1_900)),
    ];
    let used = ledger::ReplicaUse::of(&ledger_of(replicas, requests), 9_000);
    // The model takes half of the memory.
    assert_eq!((used.held_us, used.idle_us), (500, 350));
}

#[test]
fn open_ends_last_until_the_moment_of_reading() {
    let replicas = vec![event(1_000, "a", 1)];
    let requests = vec![request("a", 1_800, None)];
    let used = ledger::ReplicaUse::of(&ledger_of(replicas, requests), 2_000);
    assert_eq!((used.held_us, used.idle_us), (500, 400));
}

#[test]
fn peak_counts_copies_that_several_servers_held_at_once() {
    let first = ledger_of(vec![event(10, "a", 1), event(30, "a", 0)], Vec::new());
    let second = ledger_of(vec![event(20, "a", 1), event(20, "b", 1)], Vec::new());
    let third = ledger_of(vec![event(40, "a", 1)], Vec::new());
    let ledgers = [first, second, third];
    assert_eq!(ledger::LedgerSnapshot::peak_replicas(&ledgers, "a"), 2);
    assert_eq!(ledger::LedgerSnapshot::peak_replicas(&ledgers, "b"), 1);
}

#[test]
fn secret_is_found_in_path_and_headers() {
    let request = request("a", 0, None);
    assert!(request.mentions("secret"));
    assert!(request.mentions("other"));
    assert!(!request.mentions("absent"));
}
