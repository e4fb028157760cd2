//! Parsing, checking and hiding of callers' keys, and the table that holds them.

use std::collections;

use galenahold_domain::key;
use galenahold_domain::name;
use proptest::prelude::*;

use crate::fixture;

#[test]
fn parsing_a_revealed_key_returns_the_same_key() {
    let key = fixture::caller_key(7);
    let read = key::CallerKey::parse(&key.reveal()).expect("a revealed key parses");
    assert_eq!(read, key);
}

#[test]
fn record_admits_only_its_own_secret() {
    let record = fixture::key_record(7, "mkoani");
    assert!(record.admits(&fixture::caller_key(7)));
    let id = record.id.as_str();
    for secret in ["0", "07070707", &"08".repeat(32), &"07".repeat(33)] {
        let other = key::CallerKey::parse(&format!("gh_{id}_{secret}"))
            .expect("the text has the form of a key");
        assert!(!record.admits(&other), "{secret}");
    }
    assert!(!record.admits(&fixture::caller_key(8)));
}

#[test]
fn same_secret_under_another_id_is_refused() {
    let mut record = fixture::key_record(7, "mkoani");
    record.id = name::KeyId::from("other");
    assert!(!record.admits(&fixture::caller_key(7)));
}

#[test]
fn secret_does_not_appear_in_debug_output_or_errors() {
    let key = fixture::caller_key(7);
    let secret = "07".repeat(32);
    assert!(key.reveal().contains(&secret));
    assert!(!format!("{key:?}").contains(&secret));
    let fault = key::CallerKey::parse(&format!("gh_{secret}"))
        .expect_err("a key without an id is rejected");
    assert!(!format!("{fault} {fault:?}").contains(&secret));
}

#[test]
fn malformed_keys_are_rejected() {
    for text in [
        "",
        "gh_",
        "gh__",
        "gh_a_",
        "gh__b",
        "gh_a",
        "GH_a_b",
        "gh_a_b_c",
        "gh_a_b c",
        "gh_a_\u{e9}",
    ] {
        assert!(key::CallerKey::parse(text).is_err(), "{text}");
    }
    let long = format!("gh_a_{}", "b".repeat(1_000));
    assert!(key::CallerKey::parse(&long).is_err());
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_never_panics(text in ".{0,300}") {
        let _ = key::CallerKey::parse(&text);
    }

    #[test]
    fn key_table_matches_a_sorted_map(
        steps in proptest::collection::vec((any::<u16>(), any::<bool>()), 0..1_500)
    ) {
        let mut table = key::KeyTable::new();
        let mut map = collections::BTreeMap::new();
        let mut shared = table.clone();
        for (number, inserts) in steps {
            let mut record = fixture::key_record(1, "mkoani");
            record.id = name::KeyId::from(format!("{:04}", number % 700));
            if inserts {
                table.insert(record.clone());
                map.insert(record.id.clone(), record);
            } else {
                prop_assert_eq!(table.remove(&record.id), map.remove(&record.id).is_some());
            }
            if number % 8 == 0 {
                shared = table.clone();
            }
        }
        prop_assert_eq!(table.len(), map.len());
        prop_assert!(table.iter().eq(map.values()));
        prop_assert!(map.keys().all(|id| table.get(id).is_some()));
        prop_assert!(shared.iter().count() == shared.len());
    }
}
