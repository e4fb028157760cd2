//! Streams that break off.

use std::thread;
use std::time;

use galenahold_testkit::control::ServerControl;
use galenahold_testkit::harness;
use galenahold_testkit::ledger::RequestOutcome;

use crate::answer_fleet;
use crate::answer_fleet::{assert_whole, events};

#[test]
fn a_cut_stream_goes_on_and_the_caller_gets_the_whole_text_once() {
    let fleet = answer_fleet::AnswerFleet::start(2, 2_000);
    for after_tokens in [0, 1, 7, 19, 20] {
        for engine in fleet.serving.engines() {
            engine.control(&ServerControl::CutStream {
                after_tokens,
                count: 1,
            });
        }
        let text = format!("cut after {after_tokens}");
        let answer = fleet.stream(&text, 20);
        assert_eq!(answer.status, 200);
        assert_whole(&answer.body, &text, 20);
    }
}

#[test]
fn an_error_in_place_of_the_rest_of_a_stream_is_not_passed_on_as_part_of_it() {
    let fleet = answer_fleet::AnswerFleet::start(2, 2_000);
    for engine in fleet.serving.engines() {
        engine.control(&ServerControl::CutStream {
            after_tokens: 5,
            count: 1,
        });
        engine.control(&ServerControl::RefuseRest { count: 9 });
    }
    let answer = fleet.stream("a rest that is refused", 20);
    assert_eq!(answer.status, 200);
    assert!(!answer.body.contains("no such answer"), "{}", answer.body);
    assert!(!answer.body.contains("[DONE]"), "{}", answer.body);
}

#[test]
fn a_stream_goes_on_at_the_other_engine_when_its_engine_dies() {
    let fleet = answer_fleet::AnswerFleet::start(2, 20_000);
    let caller = fleet.serving.caller(0);
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let caller = caller.clone();
            thread::spawn(move || {
                let text = format!("dying engine {number}");
                let answer = caller
                    .chat(harness::SERVED_MODEL, &text, 60, true)
                    .expect("an answer comes");
                (text, answer)
            })
        })
        .collect();
    let dying = busy_engine(&fleet);
    fleet.serving.engines()[dying].crash();
    for stream in streams {
        let (text, answer) = stream.join().expect("the caller ends");
        assert_eq!(answer.status, 200);
        assert_whole(&answer.body, &text, 60);
    }
    let requests = fleet.serving.engines()[1 - dying].ledger().requests;
    let resumed = requests.iter().filter(|request| request.resume_offset > 0);
    assert!(resumed.count() > 0, "no stream went on at the other engine");
}

/// Waits until an engine is in the middle of a stream, and returns its place.
fn busy_engine(fleet: &answer_fleet::AnswerFleet) -> usize {
    let mut busy = None;
    harness::wait_until("an engine is in the middle of a stream", || {
        busy = fleet.serving.engines().iter().position(|engine| {
            let requests = engine.ledger().requests;
            requests.iter().any(|request| {
                request.outcome == RequestOutcome::Running && request.output_tokens > 2
            })
        });
        busy.is_some()
    });
    busy.expect("an engine was found")
}

#[test]
fn a_crossed_answer_is_discarded_and_the_caller_gets_its_own() {
    let fleet = answer_fleet::AnswerFleet::start(2, 2_000);
    for stream in [false, true] {
        for engine in fleet.serving.engines() {
            engine.control(&ServerControl::WrongRequestId { count: 1 });
        }
        let text = format!("crossed {stream}");
        let answer = fleet
            .serving
            .caller(0)
            .chat(harness::SERVED_MODEL, &text, 8, stream)
            .expect("an answer comes");
        assert_eq!(answer.status, 200, "{}", answer.body);
        if stream {
            assert_whole(&answer.body, &text, 8);
        } else {
            let message = &answer.json()["choices"][0]["message"]["content"];
            let expected = answer_fleet::expected_text(&text, 8);
            assert_eq!(message.as_str(), Some(expected.as_str()));
        }
    }
}

#[test]
fn a_stalled_stream_ends_at_its_deadline_in_an_error_without_the_end_mark() {
    let fleet = answer_fleet::AnswerFleet::start(1, 2_000);
    fleet.serving.engines()[0].control(&ServerControl::StallStream {
        after_tokens: 3,
        count: 1,
    });
    let answer = fleet
        .serving
        .caller(0)
        .header("x-request-timeout-ms", "1000")
        .chat(harness::SERVED_MODEL, "stalled", 20, true)
        .expect("an answer comes");
    assert!(!answer.body.contains("[DONE]"), "{}", answer.body);
    let events = events(&answer.body);
    let error = &events.last().expect("there are events")["error"];
    assert_eq!(error["type"].as_str(), Some("deadline_exceeded"));
    assert_eq!(error["verdict"].as_str(), Some("ran"));
    harness::wait_until("the engine is told to stop", || {
        let ledger = fleet.serving.engines()[0].ledger();
        ledger.count(galenahold_testkit::ledger::RequestOutcome::Cancelled) == 1
    });
}

#[test]
fn a_stream_whose_only_engine_dies_ends_in_an_error_without_the_end_mark() {
    let fleet = answer_fleet::AnswerFleet::start(1, 20_000);
    let caller = fleet
        .serving
        .caller(0)
        .header("x-request-timeout-ms", "4000");
    let stream = thread::spawn(move || {
        caller
            .chat(harness::SERVED_MODEL, "alone", 100, true)
            .expect("an answer comes")
    });
    thread::sleep(time::Duration::from_millis(700));
    fleet.serving.engines()[0].crash();
    let answer = stream.join().expect("the caller ends");
    assert!(!answer.body.contains("[DONE]"), "{}", answer.body);
    let events = events(&answer.body);
    let error = &events.last().expect("there are events")["error"];
    assert_eq!(error["verdict"].as_str(), Some("ran"), "{}", answer.body);
}
