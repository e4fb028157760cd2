//! Which prompts an entry instance refuses, and which parts it vouches for.

use std::time;

use galenahold_domain::crash as domain;
use galenahold_routing::crash;
use galenahold_routing::replica;

fn keys(ids: &[u64]) -> Vec<domain::PromptKey> {
    ids.iter().copied().map(domain::PromptKey).collect()
}

/// Each attempt has its own id; only what is asked tells whether two attempts are the same request.
#[test]
fn request_is_recognized_by_its_team_and_content() {
    let call = |team: &str, body: &[u8]| crash::CallKeys::new(keys(&[1]), team, &[b"POST", body]);
    let one = call("joiners", b"a prompt");
    assert_eq!(one, call("joiners", b"a prompt"));
    assert_ne!(one.request(), call("joiners", b"another").request());
    assert_ne!(one.request(), call("gluers", b"a prompt").request());
    assert!(one.request().is_request());
    assert_eq!(one.parts(), keys(&[1]));
}

#[test]
fn suspect_request_has_a_place_until_its_answer_is_complete() {
    let now = time::Instant::now();
    let suspects = [1, 2].map(|content| domain::PromptKey::of_request(7, content));
    let mut guard = crash::PromptGuard::default();
    let mut suspected = keys(&[5]);
    suspected.extend(suspects);
    let list = domain::SuspectList {
        suspected,
        ..list(1, &[], &[])
    };
    guard.apply_list(list, now);
    assert_eq!(guard.suspect_place(suspects[1]), Some(1));
    assert!(guard.record_end(suspects[1]));
    assert_eq!(guard.suspect_place(suspects[1]), None);
    assert_eq!(guard.harmless(), suspects[1..]);
}

fn list(version: u64, blocked: &[u64], suspected: &[u64]) -> domain::SuspectList {
    let blocked = blocked
        .iter()
        .map(|id| domain::BlockedPrompt::new(keys(&[*id])));
    domain::SuspectList {
        version,
        blocked: blocked.collect(),
        suspected: keys(suspected),
    }
}

#[test]
fn blocked_part_is_refused_and_other_prompts_with_the_same_first_part_are_not() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    guard.apply_list(list(1, &[0xdead], &[]), now);
    assert!(guard.check(&keys(&[1, 0xdead]), now).is_some());
    assert!(guard.check(&keys(&[1, 2]), now).is_none());
    assert!(guard.check(&[], now).is_none());
}

#[test]
fn new_block_is_provisional_and_an_old_one_that_is_listed_again_is_not() {
    let now = time::Instant::now();
    let later = now + crash::PromptGuard::PROVISIONAL_TIME;
    let mut guard = crash::PromptGuard::default();
    assert_eq!(guard.apply_list(list(1, &[0xdead], &[]), now).len(), 1);
    let refusal = guard.check(&keys(&[0xdead]), now).expect("it is blocked");
    assert!(refusal.is_provisional);
    assert!(guard.apply_list(list(2, &[0xdead], &[3]), later).is_empty());
    let refusal = guard.check(&keys(&[0xdead]), later).expect("it is blocked");
    assert!(!refusal.is_provisional);
}

#[test]
fn part_that_the_list_leaves_out_is_served_again() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    guard.apply_list(list(1, &[0xdead], &[]), now);
    guard.apply_list(list(2, &[], &[]), now);
    assert!(guard.check(&keys(&[0xdead]), now).is_none());
}

#[test]
fn suspect_that_was_answered_before_or_after_it_was_listed_is_reported_as_harmless() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    assert!(!guard.record_start(&keys(&[1]), now));
    guard.apply_list(list(1, &[], &[1, 2, 3]), now);
    assert_eq!(guard.harmless(), keys(&[1]));
    assert!(guard.record_start(&keys(&[2]), now));
    assert_eq!(guard.harmless(), keys(&[1, 2]));
    guard.apply_list(list(2, &[], &[3]), now);
    assert!(guard.harmless().is_empty());
}

#[test]
fn part_that_has_not_been_answered_for_long_may_crash_servers_again() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    guard.record_start(&keys(&[1]), now);
    assert_eq!(guard.suspects_of(&keys(&[1, 2]), now), keys(&[2]));
    let later = now + time::Duration::from_mins(1);
    assert_eq!(guard.suspects_of(&keys(&[1, 2]), later), keys(&[1, 2]));
}

/// An instance that lost its way to the control group must not refuse a prompt for ever.
#[test]
fn block_ends_although_no_new_list_arrives() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    guard.apply_list(list(1, &[0xdead], &[]), now);
    let retention = time::Duration::from_millis(domain::CrashLedger::RETENTION_MS);
    assert!(guard.check(&keys(&[0xdead]), now + retention).is_none());
}

#[test]
fn answers_to_very_many_parts_take_bounded_memory() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    for id in 0..100_000 {
        guard.record_start(&keys(&[id]), now);
    }
    assert_eq!(guard.suspects_of(&keys(&[0]), now), keys(&[0]));
    assert!(guard.suspects_of(&keys(&[99_999]), now).is_empty());
}

#[test]
fn call_with_a_part_of_an_earlier_crash_is_suspect_until_an_answer_with_the_part_begins() {
    let now = time::Instant::now();
    let mut guard = crash::PromptGuard::default();
    assert!(!guard.is_suspect(&keys(&[1, 2])));
    guard.apply_list(list(1, &[], &[2]), now);
    assert!(guard.is_suspect(&keys(&[1, 2])));
    guard.record_start(&keys(&[2]), now);
    assert!(!guard.is_suspect(&keys(&[1, 2])));
}

#[test]
fn prompts_with_a_common_beginning_share_the_keys_up_to_its_length() {
    let common = "x".repeat(64 * 5);
    let keys_of = |text: &str| crash::prompt_keys(text, &replica::PrefixBlocks::of_text(text, 64));
    let one = keys_of(&format!("{common}{}", "y".repeat(64 * 4)));
    let other = keys_of(&format!("{common}{}", "z".repeat(64 * 4)));
    // The beginnings of 1, 2 and 4 blocks are common, that of 8 and the whole are not.
    assert_eq!(one[..3], other[..3]);
    assert_eq!(one.len(), 5);
    assert!(one[3..].iter().all(|key| !other.contains(key)));
    assert_eq!(keys_of("short").len(), 1);
}
