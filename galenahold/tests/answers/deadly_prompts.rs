//! Prompts that crash each engine that begins to answer them.

use std::thread;
use std::time;

use galenahold_testkit::control;
use galenahold_testkit::harness;

use crate::answer_fleet;

const ENGINES: usize = 5;

/// More than the time within which crashes count as one.
const CRASH_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// How many engines may crash: two to tell the prompt from others, and one by the repeat of the first call.
const MAX_CRASHES: usize = 3;

#[test]
fn beginning_of_a_prompt_that_crashes_engines_is_refused_by_all_instances() {
    let fleet = answer_fleet::AnswerFleet::start(ENGINES, 1_000);
    for engine in fleet.serving.engines() {
        let deadly = control::ServerControl::CrashOnPrompt {
            text: "deadly".to_owned(),
            after_tokens: 0,
        };
        assert!(engine.control(&deadly));
    }
    for number in 0..=ENGINES {
        ask(&fleet, number, &sound_prompt(number));
        ask(&fleet, number, &deadly_prompt(number));
        thread::sleep(CRASH_PAUSE);
    }
    let engines = fleet.serving.engines().iter();
    let crashed = engines.filter(|engine| engine.is_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
    for number in 0..3 {
        assert_eq!(ask(&fleet, number, &sound_prompt(100 + number)), 200);
        assert_eq!(ask(&fleet, number, &deadly_prompt(100 + number)), 422);
    }
}

/// Guards against a stream that crashes its engines after its first token: its caller repeats it, and each instance
/// resumes it at the next engine.
#[test]
fn repeated_stream_that_crashes_engines_after_its_first_token_is_refused_by_all_instances() {
    let fleet = answer_fleet::AnswerFleet::start(ENGINES, 1_000);
    for engine in fleet.serving.engines() {
        let deadly = control::ServerControl::CrashOnPrompt {
            text: "deadly".to_owned(),
            after_tokens: 1,
        };
        assert!(engine.control(&deadly));
    }
    for number in 0..ENGINES {
        assert_eq!(ask(&fleet, number, &sound_prompt(number)), 200);
        // The stream is cut, or the request is refused.
        stream(&fleet, number);
        thread::sleep(CRASH_PAUSE);
    }
    let engines = fleet.serving.engines().iter();
    let crashed = engines.filter(|engine| engine.is_crashed()).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
    for number in 0..3 {
        assert_eq!(stream(&fleet, number), 422);
        assert_eq!(ask(&fleet, number, &sound_prompt(100 + number)), 200);
    }
}

/// Sends the same deadly request to one of the instances and returns its status.
fn stream(fleet: &answer_fleet::AnswerFleet, number: usize) -> u16 {
    let caller = fleet.serving.caller(number % 3);
    let answer = caller.chat(harness::SERVED_MODEL, &deadly_prompt(0), 5, true);
    answer.expect("an answer begins").status
}

/// Asks for an answer at one of the instances and returns its status.
fn ask(fleet: &answer_fleet::AnswerFleet, number: usize, text: &str) -> u16 {
    let caller = fleet.serving.caller(number % 3);
    let answer = caller.chat(harness::SERVED_MODEL, text, 5, false);
    answer.expect("an answer comes").status
}

/// Returns a prompt with the first block of all others.
fn sound_prompt(number: usize) -> String {
    format!("{}{number}", "instructions ".repeat(8))
}

/// Returns a prompt that shares its beginning with all deadly ones.
fn deadly_prompt(number: usize) -> String {
    format!(
        "{}{}{number}",
        "instructions ".repeat(8),
        "deadly ".repeat(30)
    )
}
