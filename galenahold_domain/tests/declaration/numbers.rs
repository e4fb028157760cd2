//! The highest number is in force, and never goes back.

use galenahold_domain::{amount, control, declaration};

fn document(number: u64, content: &str) -> declaration::DeclaredDocument {
    declaration::DeclaredDocument::pack(number, content.as_bytes()).expect("it can be packed")
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

/// Replays what a fleet of a few hundred models sends to each instance at each change.
#[test]
fn document_travels_packed_and_comes_back_as_it_was() {
    let models = (0..300).map(|number| {
        format!(r#"{{"name":"model-{number}","weights_mb":65100.0,"load_s":6.2,"adapters":0}}"#)
    });
    let text = models.collect::<Vec<_>>().join(",");
    let packed = document(7, &text);
    assert!(packed.packed_bytes() * 5 < text.len());
    let unpacked = packed.unpack().expect("it was just packed");
    assert_eq!(unpacked, text.as_bytes());
}

/// A log that an earlier version wrote holds documents as they came.
#[test]
fn document_of_an_earlier_log_is_read_as_it_is() {
    let earlier = serde_json::json!({"number": 7, "content": [123, 125]});
    let read: declaration::DeclaredDocument =
        serde_json::from_value(earlier).expect("its form is known");
    assert_eq!(read.unpack().expect("it is not packed"), b"{}");
}

#[test]
fn damaged_document_is_an_error() {
    let damaged = serde_json::json!({"number": 7, "content": [255, 1], "packing": "deflate"});
    let read: declaration::DeclaredDocument =
        serde_json::from_value(damaged).expect("its form is known");
    assert!(read.unpack().is_err());
}
