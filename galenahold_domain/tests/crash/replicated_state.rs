//! Crashes as commands of the replicated log.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::crash;
use galenahold_domain::fleet;
use galenahold_domain::name;

fn crash_of(server: &str, now_ms: u64) -> control::ControlCommand {
    let calls = vec![crash::SuspectCall {
        keys: vec![crash::PromptKey(0xdead)],
        answering: true,
        age_ms: None,
    }];
    control::ControlCommand::RecordCrash {
        report: crash::CrashReport {
            server: name::ServerName::from(server),
            started_ms: 1,
            calls,
        },
        now_ms,
    }
}

fn apply(state: &mut control::ControlState, command: &control::ControlCommand) {
    let decoded = control::ControlCommand::decode(&command.encode()).expect("the command is valid");
    assert_eq!(&decoded, command);
    state.apply(amount::FencingNumber::default(), &decoded);
}

#[test]
fn blocked_prompt_survives_a_snapshot() {
    let mut state = control::ControlState::new();
    apply(&mut state, &crash_of("s1", 1_000));
    apply(&mut state, &crash_of("s2", 2_000));
    let restored =
        control::ControlState::restore(&state.snapshot()).expect("the snapshot is valid");
    assert_eq!(restored.crashes().list(), state.crashes().list());
    assert_eq!(restored.crashes().list().blocked.len(), 1);
}

#[test]
fn cleared_part_is_released_at_each_voter() {
    let mut state = control::ControlState::new();
    apply(&mut state, &crash_of("s1", 1_000));
    apply(&mut state, &crash_of("s2", 2_000));
    let keys = vec![crash::PromptKey(0xdead)];
    apply(&mut state, &control::ControlCommand::ClearSuspects { keys });
    assert!(state.crashes().list().blocked.is_empty());
}

#[test]
fn end_of_a_server_that_left_is_no_crash() {
    let mut state = control::ControlState::new();
    for server in ["s1", "s2"] {
        let departure = fleet::ServerDeparture {
            name: name::ServerName::from(server),
            started_ms: 1,
            stage: fleet::DepartureStage::Draining,
        };
        let depart = control::ControlCommand::Depart {
            departure,
            now_ms: 500,
        };
        apply(&mut state, &depart);
        apply(&mut state, &crash_of(server, 1_000));
    }
    assert_eq!(state.crashes().list(), crash::SuspectList::default());
}
