//! Declared documents in the replicated state: the document with the highest number is in force.

use galenahold_domain::{amount, control, declaration};

fn document(number: u64, content: &str) -> declaration::DeclaredDocument {
    declaration::DeclaredDocument::pack(number, content.as_bytes()).expect("the document is packed")
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
    let command =
        control::ControlCommand::decode(&command.encode()).expect("an encoded command decodes");
    state.apply(amount::FencingNumber { term: 1, index }, &command)
}

fn document_in_force(state: &control::ControlState) -> Option<declaration::DeclaredDocument> {
    state.view().declared.clone()
}

fn declared_outcome(in_force: u64, changed: bool) -> control::ControlOutcome {
    control::ControlOutcome::Declared { in_force, changed }
}

#[test]
fn document_with_a_higher_number_takes_effect() {
    let mut state = control::ControlState::new();
    assert_eq!(declare(&mut state, 1, 4, "four"), declared_outcome(4, true));
    assert_eq!(declare(&mut state, 2, 9, "nine"), declared_outcome(9, true));
    assert_eq!(document_in_force(&state), Some(document(9, "nine")));
}

#[test]
fn document_with_a_lower_number_is_acknowledged_and_changes_nothing() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    let revision = state.revision();
    assert_eq!(
        declare(&mut state, 2, 4, "four"),
        declared_outcome(9, false)
    );
    assert_eq!(document_in_force(&state), Some(document(9, "nine")));
    assert_eq!(state.revision(), revision);
}

#[test]
fn different_document_with_the_number_in_force_is_ignored() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    assert_eq!(
        declare(&mut state, 2, 9, "other"),
        declared_outcome(9, false)
    );
    assert_eq!(document_in_force(&state), Some(document(9, "nine")));
}

#[test]
fn snapshot_contains_the_document() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 9, "nine");
    let restored =
        control::ControlState::restore(&state.snapshot()).expect("the snapshot is restored");
    assert_eq!(document_in_force(&restored), Some(document(9, "nine")));
}

#[test]
fn outdated_instance_must_fetch_the_view_instead_of_each_document() {
    let mut state = control::ControlState::new();
    declare(&mut state, 1, 4, "four");
    let before = state.revision();
    declare(&mut state, 2, 9, "nine");
    assert_eq!(state.changes_since(before), None);
    assert_eq!(state.changes_since(state.revision()), Some(Vec::new()));
}

/// Guards against large updates: each change sends the whole document to each instance, and the
/// document of a fleet with a few hundred models is large.
#[test]
fn large_document_is_compressed_and_unpacks_unchanged() {
    let models = (0..300).map(|number| {
        format!(r#"{{"name":"model-{number}","weights_mb":65100.0,"load_s":6.2,"adapters":0}}"#)
    });
    let text = models.collect::<Vec<_>>().join(",");
    let packed = document(7, &text);
    assert!(packed.packed_bytes() * 5 < text.len());
    let unpacked = packed.unpack().expect("a packed document is unpacked");
    assert_eq!(unpacked, text.as_bytes());
}

/// The log of an earlier version contains uncompressed documents, which have no field `packing`.
#[test]
fn uncompressed_document_of_an_earlier_version_is_read() {
    let earlier = serde_json::json!({"number": 7, "content": [123, 125]});
    let read: declaration::DeclaredDocument =
        serde_json::from_value(earlier).expect("the stored form is deserialized");
    assert_eq!(
        read.unpack().expect("an uncompressed document is returned"),
        b"{}"
    );
}

#[test]
fn unpacking_a_corrupted_document_fails() {
    let damaged = serde_json::json!({"number": 7, "content": [255, 1], "packing": "deflate"});
    let read: declaration::DeclaredDocument =
        serde_json::from_value(damaged).expect("the stored form is deserialized");
    assert!(read.unpack().is_err());
}
