//! Answers in one piece whose engine dies before their end.

use std::thread;
use std::time;

use galenahold_testkit::harness;

use crate::answer_fleet;

#[test]
fn an_answer_in_one_piece_comes_from_the_other_engine_when_its_engine_dies() {
    let fleet = answer_fleet::AnswerFleet::start(2, 20_000);
    let caller = fleet.serving.caller(0);
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                let text = format!("one piece {number}");
                let answer = caller
                    .chat(harness::SERVED_MODEL, &text, 50, false)
                    .expect("an answer comes");
                (text, answer)
            })
        })
        .collect();
    thread::sleep(time::Duration::from_millis(500));
    fleet.serving.engines()[1].crash();
    for call in calls {
        let (text, answer) = call.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{}", answer.body);
        let message = &answer.json()["choices"][0]["message"]["content"];
        let expected = answer_fleet::expected_text(&text, 50);
        assert_eq!(message.as_str(), Some(expected.as_str()));
    }
}
