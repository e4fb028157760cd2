//! Answers are printed for people and as JSON.

use expect_test::expect;

use crate::command_run::CommandRun;
use crate::scripted_api::{ApiStep, ScriptedApi};

fn run(document: &'static str, arguments: &[&str]) -> CommandRun {
    let api = ScriptedApi::new(&[ApiStep::Answer(200, document)]);
    let run = CommandRun::operator(&[&api], arguments);
    assert_eq!(run.exit, 0, "{}", run.stderr);
    let request = &api.requests()[0];
    assert!(request.contains("Bearer secret-of-asha"), "{request}");
    run
}

#[test]
fn plan_shows_base_digest_and_steps() {
    let plan = r#"{"base": 4, "digest": "ab12", "steps": ["add team councils", {"kind": "add"}]}"#;
    let run = run(plan, &["plan", "--intent", "INTENT"]);
    expect![[r#"
        base    4
        digest  ab12

        - add team councils
        - {"kind":"add"}
    "#]]
    .assert_eq(&run.stdout);
}

#[test]
fn given_key_is_shown_with_the_advice_to_keep_it() {
    let revision = ApiStep::Answer(200, r#"{"revision": 6, "fresh": true}"#);
    let key = ApiStep::Answer(200, r#"{"id": "k1", "key": "gh_k1_s3cret", "revision": 7}"#);
    let api = ScriptedApi::new(&[revision, key]);
    let run = CommandRun::operator(&[&api], &["keys", "give", "--team", "councils"]);
    assert!(api.requests()[1].contains(r#""base":6,"team":"councils""#));
    expect![[r#"
        id        k1
        revision  7
        key       gh_k1_s3cret
        The key is shown once: keep it now.
    "#]]
    .assert_eq(&run.stdout);
    assert_eq!(run.stderr, "");
}

#[test]
fn lists_become_tables_and_names_cannot_steer_the_terminal() {
    let servers = r#"{"revision": 7, "servers": [
        {"age_ms": 40, "announcement": {"name": "alama-1", "loaded": [{"model": "m1", "adapter": null}]}},
        {"age_ms": 90, "announcement": {"name": "desk\u001b]0;x\u0007", "service": "orders"}}]}"#;
    expect![[r#"
        revision  7

        servers:
        name                 age_ms  loaded  service
        alama-1              40      m1
        desk\u{1b}]0;x\u{7}  90              orders
    "#]]
    .assert_eq(&run(servers, &["show", "servers"]).stdout);
}

#[test]
fn shown_intent_can_be_planned_as_it_is() {
    let answer = r#"{"revision": 7, "intent": {"teams": []}, "keys": [{"id": "k1", "team": "a"}]}"#;
    let shown = run(answer, &["show", "intent"]).stdout;
    let document: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert_eq!(document, serde_json::json!({"teams": []}));
    expect![[r#"
        id  team
        k1  a
    "#]]
    .assert_eq(&run(answer, &["keys", "list"]).stdout);
}

#[test]
fn burn_report_merges_what_instances_counted_and_names_those_that_did_not_answer() {
    let counted = r#"{"snapshots": [{"instances": ["e1"], "entries": []},
        {"instances": ["e2"], "entries": []}], "missing": ["e3"]}"#;
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("burn.html");
    let arguments = ["report", "burn", "--html", page.to_str().unwrap()];
    let run = run(counted, &arguments);
    let coverage = "Counted by e1, e2; no answer from e3.";
    assert!(run.stdout.contains(coverage), "{}", run.stdout);
    assert!(std::fs::read_to_string(page).unwrap().contains(coverage));
}

#[test]
fn json_output_is_the_answer_as_a_document() {
    let run = run(
        r#"{"revision": 7}"#,
        &["--output", "json", "show", "revision"],
    );
    expect![[r#"
        {
          "revision": 7
        }
    "#]]
    .assert_eq(&run.stdout);
}

#[test]
fn completions_know_the_commands() {
    let run = CommandRun::new(&["completions", "bash"]);
    assert_eq!(run.exit, 0);
    assert!(run.stdout.contains("withdraw"));
}
