//! Encoding and decoding of commands and snapshots, malformed and newer input included.

use std::iter;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::error;
use galenahold_domain::placement;
use proptest::prelude::*;
use serde::Serialize;

use crate::fixture;

/// A command as a later version of the program might write it.
#[derive(Serialize)]
struct NewerCommand {
    version: u32,
    command: NewerKind,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum NewerKind {
    MoveDataCentre { name: String },
    ReleaseReservation { id: u64, urgent: bool },
}

#[test]
fn command_round_trips_through_its_encoding() {
    let command = control::ControlCommand::ConfirmPlan {
        request: fixture::request("amina", "7"),
        base: amount::RevisionNumber(3),
        intent: fixture::intent(),
        digest: "d".to_owned(),
        now_ms: 9,
    };
    let decoded = control::ControlCommand::decode(&command.encode()).expect("the command decodes");
    assert_eq!(decoded, command);
}

#[test]
fn unknown_command_kind_is_reported_by_name() {
    let bytes = rmp_serde::to_vec_named(&NewerCommand {
        version: 1,
        command: NewerKind::MoveDataCentre {
            name: "pwani".to_owned(),
        },
    })
    .expect("the value encodes");
    let fault = control::ControlCommand::decode(&bytes).expect_err("an unknown kind is rejected");
    assert!(
        matches!(&fault, error::DomainError::CommandKind { kind } if kind == "move_data_centre"),
        "{fault}"
    );
}

#[test]
fn unknown_command_field_is_rejected() {
    let bytes = rmp_serde::to_vec_named(&NewerCommand {
        version: 1,
        command: NewerKind::ReleaseReservation {
            id: 1,
            urgent: true,
        },
    })
    .expect("the value encodes");
    let fault = control::ControlCommand::decode(&bytes).expect_err("an unknown field is rejected");
    assert!(
        matches!(fault, error::DomainError::CommandMalformed { .. }),
        "{fault}"
    );
}

#[test]
fn newer_command_version_is_rejected() {
    let bytes = rmp_serde::to_vec_named(&NewerCommand {
        version: 2,
        command: NewerKind::MoveDataCentre {
            name: "pwani".to_owned(),
        },
    })
    .expect("the value encodes");
    let fault = control::ControlCommand::decode(&bytes).expect_err("a newer version is rejected");
    assert!(
        matches!(fault, error::DomainError::CommandVersion { found: 2, .. }),
        "{fault}"
    );
}

#[test]
fn snapshot_restores_the_same_state() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    logged.withdraw("2", fixture::caller_key(1).id());
    let bytes = logged.state.snapshot();
    let restored = control::ControlState::restore(&bytes).expect("the snapshot restores");
    assert_eq!(restored.view(), logged.state.view());
    assert_eq!(restored.snapshot(), bytes);
    let all = amount::RevisionNumber::ZERO;
    assert_eq!(restored.changes_since(all), logged.state.changes_since(all));
}

#[test]
fn newer_snapshot_version_is_rejected() {
    #[derive(Serialize)]
    struct NewerSnapshot {
        version: u32,
    }
    let bytes = rmp_serde::to_vec_named(&NewerSnapshot { version: 2 }).expect("the value encodes");
    let fault = control::ControlState::restore(&bytes).expect_err("a newer version is rejected");
    assert!(
        matches!(fault, error::DomainError::SnapshotVersion { found: 2, .. }),
        "{fault}"
    );
}

#[test]
fn deeply_nested_input_is_rejected() {
    const MAP_OF_TWO: u8 = 0x82;
    const LIST_OF_ONE: u8 = 0x91;
    const DEPTH: usize = 1_000_000;
    let mut bytes = vec![MAP_OF_TWO];
    bytes.extend(rmp_serde::to_vec("later_field").expect("the value encodes"));
    bytes.extend(iter::repeat_n(LIST_OF_ONE, DEPTH));
    assert!(control::ControlCommand::decode(&bytes).is_err());
    assert!(control::ControlState::restore(&bytes).is_err());
}

#[test]
fn unknown_snapshot_field_is_ignored() {
    const MAP_OF_TWO: u8 = 0x82;
    const MAP_OF_THREE: u8 = 0x83;
    let logged = fixture::LoggedState::with_intent();
    let mut bytes = logged.state.snapshot();
    assert_eq!(
        bytes[0], MAP_OF_TWO,
        "the snapshot is a map with the version and the state"
    );
    bytes[0] = MAP_OF_THREE;
    bytes.extend(rmp_serde::to_vec("later_field").expect("the value encodes"));
    bytes.extend(rmp_serde::to_vec(&7).expect("the value encodes"));
    let restored = control::ControlState::restore(&bytes).expect("the snapshot restores");
    assert_eq!(restored.view(), logged.state.view());
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(
        bytes in proptest::collection::vec(any::<u8>(), 0..512)
    ) {
        let _ = control::ControlCommand::decode(&bytes);
        let _ = control::ControlState::restore(&bytes);
    }

    #[test]
    fn decoding_corrupted_bytes_never_panics(
        corrupted_index in any::<prop::sample::Index>(),
        byte in any::<u8>()
    ) {
        let mut logged = fixture::LoggedState::with_intent();
        logged.give("1", fixture::key_record(1, "mkoani"));
        let mut snapshot = logged.state.snapshot();
        let corrupted = corrupted_index.index(snapshot.len());
        snapshot[corrupted] = byte;
        let _ = control::ControlState::restore(&snapshot);
        let command = control::ControlCommand::ReleaseReservation {
            id: placement::ReservationId(7),
        };
        let mut command = command.encode();
        let corrupted = corrupted_index.index(command.len());
        command[corrupted] = byte;
        let _ = control::ControlCommand::decode(&command);
    }
}
