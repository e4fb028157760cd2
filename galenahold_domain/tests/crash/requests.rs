//! Requests that crash backend servers at any moment of their answers.

use galenahold_domain::crash;
use galenahold_domain::name;

const TEAM: u64 = 7;
const PART: crash::PromptKey = crash::PromptKey(0xa);

/// More than the time within which crashes count as one.
const STEP_MS: u64 = 500;

fn request(content: u64) -> crash::PromptKey {
    crash::PromptKey::of_request(TEAM, content)
}

fn deadly() -> crash::PromptKey {
    request(0xdead)
}

/// Returns the report of a crash under these requests, whose answers had begun.
fn report(
    server: u64,
    requests: impl IntoIterator<Item = crash::PromptKey>,
    age_ms: u64,
) -> crash::CrashReport {
    let calls = requests.into_iter().map(|key| crash::SuspectCall {
        keys: vec![key],
        answering: false,
        age_ms: Some(age_ms),
    });
    crash::CrashReport {
        server: name::ServerName::from(format!("s{server}")),
        started_ms: 1,
        calls: calls.collect(),
    }
}

/// Returns the ledger after one crash under each group of requests, at separate moments.
fn ledger_of(crashes: &[&[crash::PromptKey]]) -> crash::CrashLedger {
    let mut ledger = crash::CrashLedger::default();
    for (number, requests) in (1..).zip(crashes) {
        let report = report(number, requests.iter().copied(), 10);
        ledger.record(&report, number * STEP_MS);
    }
    ledger
}

fn blocked(ledger: &crash::CrashLedger) -> Vec<crash::PromptKey> {
    let list = ledger.list();
    let blocked = list.blocked.iter().flat_map(crash::BlockedPrompt::keys);
    blocked.copied().collect()
}

#[test]
fn request_whose_answer_had_begun_is_a_suspect_at_two_crashes_and_blocked_at_three() {
    let once: &[_] = &[deadly()];
    assert_eq!(ledger_of(&[once]).list().suspected, []);
    assert_eq!(ledger_of(&[once, once]).list().suspected, [deadly()]);
    assert_eq!(blocked(&ledger_of(&[once, once])), []);
    assert_eq!(blocked(&ledger_of(&[once, once, once])), [deadly()]);
}

#[test]
fn sound_requests_beside_it_at_two_crashes_are_released_with_the_block() {
    let sound = (0..63).map(request);
    let all: Vec<_> = sound.chain([deadly()]).collect();
    let ledger = ledger_of(&[&all, &all, &[deadly()]]);
    assert_eq!(blocked(&ledger), [deadly()]);
    assert_eq!(ledger.list().suspected, []);
}

/// Each of two requests at the same three crashes may be the only one that is deadly.
#[test]
fn equally_suspect_requests_are_told_apart_by_a_fourth_crash() {
    let both = [deadly(), request(1)];
    let ledger = ledger_of(&[&both, &both, &both]);
    assert_eq!(blocked(&ledger), []);
    let ledger = ledger_of(&[&both, &both, &both, &[deadly()]]);
    assert_eq!(blocked(&ledger), [deadly()]);
}

#[test]
fn request_that_another_suspect_may_excuse_is_not_blocked() {
    let crashes: &[&[_]] = &[
        &[request(1), request(2)],
        &[request(1), request(3)],
        &[request(2)],
        &[request(3)],
        &[request(1), request(4)],
        &[request(4)],
    ];
    assert_eq!(blocked(&ledger_of(crashes)), []);
}

#[test]
fn request_that_is_sent_again_at_once_is_present_at_separate_crashes() {
    let mut ledger = crash::CrashLedger::default();
    for number in 0..3 {
        ledger.record(&report(number, [deadly()], 10), 1_000 + number * 20);
    }
    assert_eq!(blocked(&ledger), [deadly()]);
}

/// Callers often send the same short request at the same time.
#[test]
fn equal_requests_at_the_servers_of_one_rack_count_once() {
    let mut ledger = crash::CrashLedger::default();
    for number in 0..5 {
        ledger.record(&report(number, [deadly()], 40), 1_000 + number * 5);
    }
    assert_eq!(ledger.list().suspected, []);
}

#[test]
fn request_whose_answer_was_completed_is_released() {
    let once: &[_] = &[deadly()];
    let mut ledger = ledger_of(&[once, once, once]);
    ledger.clear(&[deadly()]);
    assert_eq!(ledger.list().blocked, []);
}

/// A sender with many deadly requests ends no block of another's, and fills no memory.
#[test]
fn flood_of_one_sender_displaces_no_other() {
    let once: &[_] = &[deadly()];
    let mut ledger = ledger_of(&[once, once, once]);
    for number in 0..300 {
        let flooding = crash::PromptKey::of_request(TEAM + 1, number / 3);
        let at_ms = (10 + number) * STEP_MS;
        ledger.record(&report(10 + number, [flooding], 10), at_ms);
    }
    let blocked = blocked(&ledger);
    assert!(blocked.contains(&deadly()));
    assert!((10..100).contains(&blocked.len()), "{}", blocked.len());
}

/// Returns the report of a crash under a request with a part, whose answer had not begun.
fn report_of_part(server: u64, request: crash::PromptKey) -> crash::CrashReport {
    let mut report = report(server, [request], 10);
    report.calls[0].answering = true;
    report.calls[0].keys.insert(0, PART);
    report
}

/// Guards against the refusal of sound requests that share a part with one that its sender repeats.
#[test]
fn part_is_blocked_for_crashes_under_different_requests_only() {
    for (requests, blocked_key) in [([1, 1, 1], request(1)), ([1, 1, 2], PART)] {
        let mut ledger = crash::CrashLedger::default();
        for (number, content) in (1..).zip(requests) {
            assert_eq!(blocked(&ledger), []);
            ledger.record(&report_of_part(number, request(content)), number * STEP_MS);
        }
        assert_eq!(blocked(&ledger), [blocked_key]);
    }
}
