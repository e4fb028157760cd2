//! Parsing of intents: an error names its line, column and field.

use expect_test::expect;
use galenahold_domain::intent;

fn parse_error(text: &str) -> String {
    match intent::FleetIntent::from_json(text) {
        Ok(intent) => panic!("the invalid document was parsed: {intent:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn unknown_team_field_is_named() {
    let text = r#"{
  "teams": [
    {"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 1, "colour": 3}
  ]
}"#;
    expect!["read an intent: line 3, column 69, field `teams[0].colour`: unknown field `colour`, expected one of `name`, `rate_tokens_per_s`, `burst_tokens`, `weight`"]
        .assert_eq(&parse_error(text));
}

#[test]
fn unknown_service_field_is_named() {
    let text = r#"{"services": [
  {"name": "s", "kind": "models", "models": ["m"],
   "oppen": true, "teams": ["a"]}
]}"#;
    expect!["read an intent: line 3, column 10, field `services[0].oppen`: unknown field `oppen`, expected one of `name`, `kind`, `models`, `path_prefix`, `idempotent_methods`, `call_tokens`, `teams`, `open`, `priority`, `deadline_ms`, `objective`"]
        .assert_eq(&parse_error(text));
}

#[test]
fn field_of_another_route_kind_or_missing_field_is_named() {
    let text = r#"{"services": [
  {"name": "s", "kind": "models", "models": ["m"], "path_prefix": "/x"}
]}"#;
    expect!["read an intent: line 3, column 1, field `services[0]`: service `s`: unknown field `path_prefix` for the kind `models`"]
        .assert_eq(&parse_error(text));
    let text = r#"{"services": [{"name": "s", "kind": "plain"}]}"#;
    expect!["read an intent: line 1, column 45, field `services[0]`: service `s`: missing field `path_prefix` for the kind `plain`"]
        .assert_eq(&parse_error(text));
}

#[test]
fn field_with_a_wrong_type_is_located() {
    let text = r#"{"models": [
  {"name": "m", "version": "1", "bytes": 1,
   "adapters": [{"name": "x", "bytes": 1}, {"name": "y", "bytes": "2"}]}
]}"#;
    expect![[r#"read an intent: line 3, column 69, field `models[0].adapters[1].bytes`: invalid type: string "2", expected u64"#]]
        .assert_eq(&parse_error(text));
}

#[test]
fn text_after_the_document_is_rejected() {
    expect!["read an intent: line 1, column 4, field `.`: trailing characters"]
        .assert_eq(&parse_error("{} {}"));
}

#[test]
fn intent_round_trips_through_json() {
    let text = r#"{"services": [
        {"name": "s", "kind": "plain", "path_prefix": "/x", "call_tokens": 3},
        {"name": "t", "kind": "models", "models": ["m"], "teams": ["a"]}
    ]}"#;
    let intent = intent::FleetIntent::from_json(text).expect("the document is parsed");
    let written = serde_json::to_string(&intent).expect("the intent is serialized");
    let again = intent::FleetIntent::from_json(&written).expect("the serialized intent is parsed");
    assert_eq!(again, intent);
}
