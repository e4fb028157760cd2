//! Reading intents: a fault names its line, column and field.

use expect_test::expect;
use galenahold_domain::intent;

fn fault(text: &str) -> String {
    match intent::FleetIntent::from_json(text) {
        Ok(intent) => panic!("it must not be read: {intent:?}"),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn unknown_field_of_a_team_is_named() {
    let text = r#"{
  "teams": [
    {"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 1, "colour": 3}
  ]
}"#;
    expect!["read an intent: line 3, column 69, field `teams[0].colour`: unknown field `colour`, expected one of `name`, `rate_tokens_per_s`, `burst_tokens`, `weight`"]
        .assert_eq(&fault(text));
}

#[test]
fn unknown_field_of_a_service_is_named() {
    let text = r#"{"services": [
  {"name": "s", "kind": "models", "models": ["m"],
   "oppen": true, "teams": ["a"]}
]}"#;
    expect!["read an intent: line 3, column 10, field `services[0].oppen`: unknown field `oppen`, expected one of `name`, `kind`, `models`, `path_prefix`, `idempotent_methods`, `call_tokens`, `teams`, `open`, `priority`, `deadline_ms`, `objective`"]
        .assert_eq(&fault(text));
}

#[test]
fn field_of_another_route_kind_is_named() {
    let text = r#"{"services": [
  {"name": "s", "kind": "models", "models": ["m"], "path_prefix": "/x"}
]}"#;
    expect!["read an intent: line 3, column 1, field `services[0]`: service `s`: unknown field `path_prefix` for the kind `models`"]
        .assert_eq(&fault(text));
    let text = r#"{"services": [{"name": "s", "kind": "plain"}]}"#;
    expect!["read an intent: line 1, column 45, field `services[0]`: service `s`: missing field `path_prefix` for the kind `plain`"]
        .assert_eq(&fault(text));
}

#[test]
fn wrong_type_is_named_where_it_stands() {
    let text = r#"{"models": [
  {"name": "m", "version": "1", "bytes": 1,
   "adapters": [{"name": "x", "bytes": 1}, {"name": "y", "bytes": "2"}]}
]}"#;
    expect![[r#"read an intent: line 3, column 69, field `models[0].adapters[1].bytes`: invalid type: string "2", expected u64"#]]
        .assert_eq(&fault(text));
}

#[test]
fn text_after_the_document_is_a_fault() {
    expect!["read an intent: line 1, column 4, field `.`: trailing characters"]
        .assert_eq(&fault("{} {}"));
}

#[test]
fn document_survives_a_round_trip() {
    let text = r#"{"services": [
        {"name": "s", "kind": "plain", "path_prefix": "/x", "call_tokens": 3},
        {"name": "t", "kind": "models", "models": ["m"], "teams": ["a"]}
    ]}"#;
    let intent = intent::FleetIntent::from_json(text).expect("it is read");
    let written = serde_json::to_string(&intent).expect("it is written");
    let again = intent::FleetIntent::from_json(&written).expect("it is read again");
    assert_eq!(again, intent);
}
