//! A request is sent again only where that is safe, and the exit status says what may have happened.

use crate::command_run::CommandRun;
use crate::scripted_face::{FaceStep, ScriptedFace};

const CONFIRM: &[&str] = &[
    "confirm", "--intent", "INTENT", "--base", "4", "--digest", "d1",
];
const NO_LEADER: FaceStep = FaceStep::Answer(
    503,
    r#"{"error": {"kind": "no_leader", "message": "no leader is known"}}"#,
);
const DONE: FaceStep = FaceStep::Answer(200, r#"{"revision": 5}"#);

/// Returns the request ids in the bodies that a face got.
fn request_ids(face: &ScriptedFace) -> Vec<String> {
    let id = |request: &String| {
        let body = request.split_once("\r\n\r\n").unwrap().1;
        let document: serde_json::Value = serde_json::from_str(body).unwrap();
        String::from(document["request"].as_str().unwrap())
    };
    face.requests().iter().map(id).collect()
}

#[test]
fn confirm_is_sent_again_under_the_same_request_id_when_answers_are_lost() {
    let unknown = FaceStep::Answer(504, r#"{"error": {"kind": "outcome_unknown"}}"#);
    let face = ScriptedFace::new(&[FaceStep::Close, FaceStep::CutAnswer, unknown, DONE]);
    let run = CommandRun::operator(&[&face], CONFIRM);
    assert_eq!(
        (run.exit, run.stdout.as_str()),
        (0, "revision 5 is in force\n")
    );
    let ids = request_ids(&face);
    assert_eq!(ids.len(), 4);
    assert!(ids.iter().all(|id| *id == ids[0] && !id.is_empty()));
}

#[test]
fn confirm_without_any_answer_says_that_it_may_have_been_applied_and_how_to_repeat_it() {
    let face = ScriptedFace::new(&[FaceStep::Close, NO_LEADER]);
    let run = CommandRun::operator(&[&face], CONFIRM);
    assert_eq!(run.exit, 4, "{}", run.stderr);
    let id = &request_ids(&face)[0];
    assert!(run.stderr.contains("may have been applied"));
    assert!(run.stderr.contains(&format!("--request {id}")));
}

#[test]
fn refused_credential_after_a_lost_answer_does_not_say_that_nothing_changed() {
    let unauthorized = FaceStep::Answer(401, r#"{"error": {"kind": "unauthorized"}}"#);
    let face = ScriptedFace::new(&[FaceStep::Close, unauthorized]);
    assert_eq!(CommandRun::operator(&[&face], CONFIRM).exit, 4);
}

#[test]
fn member_change_is_not_sent_again_when_its_answer_is_lost() {
    let face = ScriptedFace::new(&[NO_LEADER, FaceStep::Close, DONE]);
    let run = CommandRun::operator(&[&face], &["members", "add", "c4", "10.0.0.4:7100"]);
    assert_eq!(run.exit, 4, "{}", run.stderr);
    assert_eq!(face.requests().len(), 2);
}

#[test]
fn next_address_is_tried_when_the_first_has_no_leader_or_refuses_connections() {
    let gone = ScriptedFace::new(&[DONE]).address;
    let follower = ScriptedFace::new(&[NO_LEADER]);
    let leader = ScriptedFace::new(&[DONE]);
    let run = CommandRun::operator(&[&follower, &leader], CONFIRM);
    assert_eq!(run.exit, 0, "{}", run.stderr);
    assert_eq!(request_ids(&follower), request_ids(&leader));
    let addresses = format!("{gone},{}", leader.address);
    let run = CommandRun::operator_at(&addresses, "6", &["status"]);
    assert_eq!(run.exit, 0, "{}", run.stderr);
}

#[test]
fn control_group_without_leader_is_reported_as_nothing_changed() {
    let face = ScriptedFace::new(&[NO_LEADER]);
    let run = CommandRun::operator_at(&face.address.to_string(), "1", &["keys", "withdraw", "k1"]);
    assert_eq!(run.exit, 5, "{}", run.stderr);
    assert!(run.stderr.contains("nothing was changed"));
    assert!(face.requests().len() > 1);
}
