//! Answers are printed for people and as JSON.

use expect_test::expect;

use crate::command_run::CommandRun;
use crate::scripted_face::{FaceStep, ScriptedFace};

fn run(document: &'static str, arguments: &[&str]) -> CommandRun {
    let face = ScriptedFace::new(&[FaceStep::Answer(200, document)]);
    let run = CommandRun::operator(&[&face], arguments);
    assert_eq!(run.exit, 0, "{}", run.stderr);
    let request = &face.requests()[0];
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
    let key = r#"{"id": "k1", "key": "gh_k1_s3cret", "revision": 7}"#;
    let run = run(key, &["keys", "give", "--team", "councils"]);
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
        {"name": "alama-1", "kind": "engine", "loaded": ["m1", "m2"], "leaving": false},
        {"name": "desk\u001b]0;x\u0007", "kind": "service", "service": "orders"}]}"#;
    expect![[r#"
        revision  7

        servers:
        name                 kind     leaving  loaded  service
        alama-1              engine   false    m1, m2
        desk\u{1b}]0;x\u{7}  service                   orders
    "#]]
    .assert_eq(&run(servers, &["show", "servers"]).stdout);
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
