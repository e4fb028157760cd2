//! Refusals and files that are not valid are told with their reasons.

use std::fs;

use expect_test::expect;

use crate::command_run::CommandRun;
use crate::scripted_api::{ApiStep, ScriptedApi};

const CONFIRM: &[&str] = &[
    "confirm", "--intent", "INTENT", "--base", "4", "--digest", "d1",
];

#[test]
fn conflict_names_who_changed_what() {
    let conflict = r#"{"error": {"kind": "conflict", "message": "moved on", "details":
        {"base": 4, "current": 5, "operator": "juma", "summary": ["add team a\u001b[2J"]}}}"#;
    let api = ScriptedApi::new(&[ApiStep::Answer(409, conflict)]);
    let run = CommandRun::operator(&[&api], CONFIRM);
    assert_eq!(run.exit, 3);
    expect![[r#"
        error: /v1/plans/confirm was refused with status 409
          the plan was made against revision 4, and revision 5 is in force
          made by operator juma:
            add team a\u{1b}[2J
          make a new plan with `galenahold plan` and confirm that one
    "#]]
    .assert_eq(&run.stderr);
    assert_eq!(api.requests().len(), 1);
}

#[test]
fn reasons_of_an_intent_that_is_not_valid_come_as_json_too() {
    let reasons = r#"{"error": {"kind": "invalid", "message": "not valid", "details":
        {"reasons": ["services[0].models[0]: no such model"]}}}"#;
    let api = ScriptedApi::new(&[ApiStep::Answer(422, reasons)]);
    let run = CommandRun::operator(&[&api], &["--output", "json", "plan", "--intent", "INTENT"]);
    assert_eq!(run.exit, 3);
    expect![[r#"
        {"error":{"kind":"invalid","message":"/v1/plans was refused with status 422\n  services[0].models[0]: no such model","exit":3}}
    "#]].assert_eq(&run.stderr);
}

#[test]
fn refusal_of_the_control_group_is_final_and_changed_nothing() {
    let refused = r#"{"error": {"kind": "refused", "message": "c4 has not caught up"}}"#;
    let api = ScriptedApi::new(&[ApiStep::Answer(503, refused)]);
    let run = CommandRun::operator(&[&api], &["members", "promote", "c4"]);
    assert_eq!(run.exit, 3);
    assert!(run.stderr.contains("c4 has not caught up"));
    assert_eq!(api.requests().len(), 1);
}

#[test]
fn intent_file_that_is_not_valid_is_not_sent() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fleet.jsonc");
    fs::write(&file, "{\"teams\": [\n  {\"nome\": \"councils\"}\n]}").unwrap();
    let api = ScriptedApi::new(&[ApiStep::Close]);
    let run = CommandRun::operator(&[&api], &["plan", "--intent", file.to_str().unwrap()]);
    assert_eq!(run.exit, 2);
    assert!(
        run.stderr.contains("unknown field `nome`"),
        "{}",
        run.stderr
    );
    assert!(run.stderr.contains("fleet.jsonc:2:3: "), "{}", run.stderr);
    assert_eq!(api.requests().len(), 0);
}

#[test]
fn settings_file_that_is_not_valid_stops_serve_and_check() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("e1.jsonc");
    fs::write(&file, "{\"cluster\": 1, \"instanse\": {}}").unwrap();
    for command in ["serve", "check"] {
        let run = CommandRun::new(&[command, "--settings", file.to_str().unwrap()]);
        assert_eq!(run.exit, 2);
        assert!(run.stderr.contains(":1:13: `cluster` has the wrong type"));
        assert!(run.stderr.contains("did you mean `instance`?"));
    }
}

#[test]
fn operator_command_without_addresses_or_credential_is_a_usage_error() {
    let run = CommandRun::new(&["status"]);
    assert_eq!((run.exit, run.stdout.as_str()), (2, ""));
    expect![[r#"
        error: this command needs --operators ADDR; see `galenahold help`
    "#]]
    .assert_eq(&run.stderr);
    let run = CommandRun::new(&["status", "--operators", "localhost:1"]);
    assert_eq!(run.exit, 2);
    expect![[r#"
        error: invalid value 'localhost:1' for '--operators <ADDR>': invalid socket address syntax

        For more information, try '--help'.
    "#]]
    .assert_eq(&run.stderr);
}
