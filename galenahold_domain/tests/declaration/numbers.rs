//! The highest number is in force, and never goes back.

use std::sync;

use galenahold_domain::{amount, control, declaration};

fn document(number: u64, content: &str) -> declaration::DeclaredDocument {
    declaration::DeclaredDocument {
        number,
        content: sync::Arc::new(serde_bytes::ByteBuf::from(content)),
    }
}

fn declare(
    state: &mut control::ControlState,
    index: u64,
    number: u64,
    content: &str,
) -> control::ControlOutcome {
    let command = control::ControlCommand::Declare {
        document: document(number, content),
    };
    let command = control::ControlCommand::decode(&command.encode()).expect("it was just encoded");
    state.apply(amount::FencingNumber { term: 1, index }, &command)
}

fn held(state: &control::ControlState) -> Option<declaration::DeclaredDocument> {
    state.view().declared.clone()
}

fn outcome(in_force: u64, changed: bool) -> control::ControlOutcome {
    control::ControlOutcome::Declared { in_force, changed }
}

#[test]
fn higher_number_takes_effect() {
    let mut state = control::ControlState::new();
    assert_eq!(declare(&mut state, 1, 4, "four"), outcome(4, true));
    assert_eq!(declare(&mut state, 2, 9, "nine"), outcome(9, true));
    assert_eq!(held(&state), Some(document(9, "nine")));
}

#[test]
fn lower_number_is_acknowledged_and_changes_nothing() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    let revision = state.revision();
    assert_eq!(declare(&mut state, 2, 4, "four"), outcome(9, false));
    assert_eq!(held(&state), Some(document(9, "nine")));
    assert_eq!(state.revision(), revision);
}

#[test]
fn other_content_under_the_number_in_force_is_not_obeyed() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    assert_eq!(declare(&mut state, 2, 9, "other"), outcome(9, false));
    assert_eq!(held(&state), Some(document(9, "nine")));
}

#[test]
fn snapshot_keeps_the_document() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    let restored = control::ControlState::restore(&state.snapshot()).expect("it is a snapshot");
    assert_eq!(held(&restored), Some(document(9, "nine")));
}

#[test]
fn instance_that_lags_takes_the_view_rather_than_each_document() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 4, "four");
    let before = state.revision();
    declare(&mut state, 2, 9, "nine");
    assert_eq!(state.changes_since(before), None);
    assert_eq!(state.changes_since(state.revision()), Some(Vec::new()));
}
