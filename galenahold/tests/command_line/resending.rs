//! A request is sent again only where that is safe, and the exit status says what may have happened.

use crate::command_run::CommandRun;
use crate::scripted_api::{ApiStep, ScriptedApi};

const CONFIRM: &[&str] = &[
    "confirm", "--intent", "INTENT", "--base", "4", "--digest", "d1",
];
const NO_LEADER: ApiStep = ApiStep::Answer(
    503,
    r#"{"error": {"kind": "no_leader", "message": "no leader is known"}}"#,
);
const DONE: ApiStep = ApiStep::Answer(200, r#"{"revision": 5}"#);

/// Returns the request ids in the bodies that a face got.
fn request_ids(api: &ScriptedApi) -> Vec<String> {
    let id = |request: &String| {
        let body = request.split_once("\r\n\r\n").unwrap().1;
        let document: serde_json::Value = serde_json::from_str(body).unwrap();
        String::from(document["request"].as_str().unwrap())
    };
    api.requests().iter().map(id).collect()
}

#[test]
fn confirm_is_sent_again_under_the_same_request_id_when_answers_are_lost() {
    let unknown = ApiStep::Answer(504, r#"{"error": {"kind": "outcome_unknown"}}"#);
    let api = ScriptedApi::new(&[ApiStep::Close, ApiStep::CutAnswer, unknown, DONE]);
    let run = CommandRun::operator(&[&api], CONFIRM);
    assert_eq!(
        (run.exit, run.stdout.as_str()),
        (0, "revision 5 is in force\n")
    );
    let ids = request_ids(&api);
    assert_eq!(ids.len(), 4);
    assert!(ids.iter().all(|id| *id == ids[0] && !id.is_empty()));
}

#[test]
fn confirm_without_any_answer_says_that_it_may_have_been_applied_and_how_to_repeat_it() {
    let api = ScriptedApi::new(&[ApiStep::Close, NO_LEADER]);
    let run = CommandRun::operator(&[&api], CONFIRM);
    assert_eq!(run.exit, 4, "{}", run.stderr);
    let id = &request_ids(&api)[0];
    assert!(run.stderr.contains("may have been applied"));
    assert!(run.stderr.contains(&format!("--request {id}")));
}

#[test]
fn refused_credential_after_a_lost_answer_does_not_say_that_nothing_changed() {
    let unauthorized = ApiStep::Answer(401, r#"{"error": {"kind": "unauthorized"}}"#);
    let api = ScriptedApi::new(&[ApiStep::Close, unauthorized]);
    assert_eq!(CommandRun::operator(&[&api], CONFIRM).exit, 4);
}

#[test]
fn member_change_is_not_sent_again_when_its_answer_is_lost() {
    let api = ScriptedApi::new(&[NO_LEADER, ApiStep::Close, DONE]);
    let run = CommandRun::operator(&[&api], &["members", "add", "c4", "10.0.0.4:7100"]);
    assert_eq!(run.exit, 4, "{}", run.stderr);
    assert_eq!(api.requests().len(), 2);
}

#[test]
fn next_address_is_tried_when_the_first_has_no_leader_or_refuses_connections() {
    let gone = ScriptedApi::new(&[DONE]).address;
    let follower = ScriptedApi::new(&[NO_LEADER]);
    let leader = ScriptedApi::new(&[DONE]);
    let run = CommandRun::operator(&[&follower, &leader], CONFIRM);
    assert_eq!(run.exit, 0, "{}", run.stderr);
    assert_eq!(request_ids(&follower), request_ids(&leader));
    let addresses = format!("{gone},{}", leader.address);
    let run = CommandRun::operator_at(&addresses, "6", &["status"]);
    assert_eq!(run.exit, 0, "{}", run.stderr);
}

#[test]
fn control_group_without_leader_is_reported_as_nothing_changed() {
    let api = ScriptedApi::new(&[NO_LEADER]);
    let run = CommandRun::operator_at(&api.address.to_string(), "1", &["keys", "withdraw", "k1"]);
    assert_eq!(run.exit, 5, "{}", run.stderr);
    assert!(run.stderr.contains("nothing was changed"));
    assert!(api.requests().len() > 1);
}
