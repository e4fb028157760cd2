//! Decisions of the crash ledger.

use galenahold_domain::crash;
use galenahold_domain::name;
use proptest::prelude::*;

const DEADLY: u64 = 0xdead;
const FIRST_PART: u64 = 0xa;

/// More than the time within which crashes count as one.
const STEP_MS: u64 = 500;

fn keys(ids: &[u64]) -> Vec<crash::PromptKey> {
    ids.iter().copied().map(crash::PromptKey).collect()
}

fn call(ids: &[u64], answering: bool) -> crash::SuspectCall {
    crash::SuspectCall {
        keys: keys(ids),
        answering,
        age_ms: None,
    }
}

fn report(server: u64, calls: Vec<crash::SuspectCall>) -> crash::CrashReport {
    crash::CrashReport {
        server: name::ServerName::from(format!("s{server}")),
        started_ms: 1,
        calls,
    }
}

fn blocked(ledger: &crash::CrashLedger) -> Vec<String> {
    let list = ledger.list();
    list.blocked.iter().map(ToString::to_string).collect()
}

/// Records a crash of one server after another, each with the given calls.
fn ledger_of(crashes: &[&[crash::SuspectCall]]) -> crash::CrashLedger {
    let mut ledger = crash::CrashLedger::default();
    for (number, calls) in (1..).zip(crashes) {
        ledger.record(&report(number, calls.to_vec()), number * STEP_MS);
    }
    ledger
}

#[test]
fn one_crash_blocks_nothing() {
    let ledger = ledger_of(&[&[call(&[FIRST_PART, DEADLY], true)]]);
    assert!(blocked(&ledger).is_empty());
    assert_eq!(ledger.list().suspected, keys(&[FIRST_PART, DEADLY]));
}

#[test]
fn part_at_two_crashes_is_blocked_and_calls_that_merely_waited_there_are_not() {
    let ledger = ledger_of(&[
        &[call(&[1, DEADLY], true), call(&[2, 3], false)],
        &[call(&[4, DEADLY], true), call(&[5, 6], false)],
    ]);
    assert_eq!(blocked(&ledger), ["dead"]);
}

#[test]
fn reports_of_several_instances_about_one_crash_count_once() {
    let mut ledger = crash::CrashLedger::default();
    for instance in 0..5 {
        let calls = vec![call(&[DEADLY, instance], true)];
        ledger.record(&report(1, calls), instance * STEP_MS);
    }
    assert!(blocked(&ledger).is_empty());
}

#[test]
fn servers_that_crash_at_the_same_moment_count_once() {
    let mut ledger = crash::CrashLedger::default();
    for server in 0..5 {
        ledger.record(&report(server, vec![call(&[DEADLY], true)]), 1_000 + server);
    }
    assert!(blocked(&ledger).is_empty());
}

#[test]
fn part_whose_answer_begins_is_released() {
    let crash = [call(&[FIRST_PART], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    assert_eq!(blocked(&ledger), ["a"]);
    let version = ledger.version();
    ledger.clear(&keys(&[FIRST_PART]));
    assert!(blocked(&ledger).is_empty());
    assert!(ledger.list().suspected.is_empty());
    assert!(ledger.version() > version);
}

#[test]
fn parts_that_only_come_together_are_blocked_together_until_one_proves_harmless() {
    let crash = [call(&[FIRST_PART, DEADLY], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    assert_eq!(blocked(&ledger), ["a+dead"]);
    assert!(!ledger.list().blocked[0].matches(&keys(&[FIRST_PART, 7])));
    ledger.clear(&keys(&[FIRST_PART]));
    assert_eq!(blocked(&ledger), ["dead"]);
}

#[test]
fn part_that_crashes_servers_with_other_parts_too_is_blocked_alone() {
    let ledger = ledger_of(&[
        &[call(&[1, DEADLY], true)],
        &[call(&[1, DEADLY], true)],
        &[call(&[2, DEADLY], true)],
    ]);
    assert_eq!(blocked(&ledger), ["dead"]);
}

#[test]
fn two_deadly_parts_at_the_same_time_are_both_blocked() {
    let ledger = ledger_of(&[
        &[call(&[1, DEADLY], true)],
        &[call(&[2, 0xbad], true)],
        &[call(&[3, DEADLY], true)],
        &[call(&[4, 0xbad], true)],
    ]);
    assert_eq!(blocked(&ledger), ["bad", "dead"]);
}

#[test]
fn two_equally_suspect_parts_of_different_calls_are_not_blocked_before_a_third_crash() {
    let crash = [call(&[DEADLY], true), call(&[0xcafe], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    assert!(blocked(&ledger).is_empty());
    ledger.record(&report(3, vec![call(&[DEADLY], true)]), 3 * STEP_MS);
    assert_eq!(blocked(&ledger), ["dead"]);
}

#[test]
fn crash_that_a_blocked_part_explains_says_nothing_about_the_parts_beside_it() {
    let crash = [call(&[DEADLY], true), call(&[0xcafe], false)];
    let ledger = ledger_of(&[&crash, &crash, &crash]);
    assert_eq!(blocked(&ledger), ["dead"]);
    assert!(ledger.list().suspected.is_empty());
}

#[test]
fn block_ends_with_the_retention_of_its_crashes() {
    let crash = [call(&[DEADLY], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    let later = 3 * STEP_MS + crash::CrashLedger::RETENTION_MS;
    ledger.record(&report(9, vec![call(&[1], false)]), later);
    assert!(blocked(&ledger).is_empty());
}

#[test]
fn clock_of_a_later_leader_that_is_behind_ends_no_block() {
    let crash = [call(&[DEADLY], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    ledger.record(&report(9, vec![call(&[1], false)]), 0);
    assert_eq!(blocked(&ledger), ["dead"]);
}

#[test]
fn repeated_report_is_no_news_and_an_empty_one_neither() {
    let crash = report(1, vec![call(&[DEADLY], true)]);
    let mut ledger = crash::CrashLedger::default();
    assert!(ledger.is_news(&crash));
    ledger.record(&crash, 1);
    assert!(!ledger.is_news(&crash));
    assert!(!ledger.is_news(&report(2, vec![call(&[], true)])));
}

/// Crashes of many servers with long prompts fill neither memory nor the list, and do not end a block.
#[test]
fn flood_of_crashes_is_bounded_and_ends_no_block() {
    let crash = [call(&[DEADLY], true)];
    let mut ledger = ledger_of(&[&crash, &crash]);
    for number in 0..400 {
        let ids: Vec<_> = (0..100).map(|part| 1_000 + number * 100 + part).collect();
        let calls = (0..40).map(|_| call(&ids, false)).collect();
        ledger.record(&report(10 + number, calls), 2_000 + number);
    }
    assert_eq!(blocked(&ledger), ["dead"]);
    assert!(ledger.list().suspected.len() <= 600);
}

proptest! {
    /// Whatever sound calls wait beside it, a part that is about to be answered at each of five crashes is blocked,
    /// and no part that has been answered since is.
    #[test]
    fn deadly_part_is_found_among_sound_calls(
        beside in prop::collection::vec(prop::collection::vec((0_u64..40, 40_u64..90), 0..6), 5),
        cleared in prop::collection::vec(0_u64..90, 0..30),
    ) {
        let mut ledger = crash::CrashLedger::default();
        for (number, pairs) in (1..).zip(&beside) {
            let mut calls = vec![call(&[FIRST_PART, 100 + number, DEADLY], true)];
            calls.extend(pairs.iter().map(|(one, other)| call(&[*one, *other], false)));
            ledger.record(&report(number, calls), number * STEP_MS);
            ledger.clear(&keys(&cleared));
        }
        let list = ledger.list();
        let deadly = keys(&[FIRST_PART, 999, DEADLY]);
        let refused = list.blocked.iter().any(|prompt| prompt.matches(&deadly));
        prop_assert!(refused, "{:?}", list.blocked);
        let sound = keys(&cleared);
        prop_assert!(!list.blocked.iter().any(|prompt| prompt.matches(&sound)));
    }
}
