//! Random sequences of commands: replicas stay equal, and no limit is exceeded.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_domain::order;
use galenahold_domain::placement;
use proptest::prelude::*;

use crate::fixture;

const ENTRY_INCARNATION: amount::IncarnationNumber = amount::IncarnationNumber(1);

/// Memory for the larger model and one of its two adapters.
const CAPACITY: amount::ByteCount = amount::ByteCount(1_025);

/// One step: the kind of command to build from the current state, and whether the replica is
/// restored from its own snapshot afterwards.
#[derive(Debug, Clone)]
struct LogStep {
    kind: LogKind,
    restores_replica: bool,
}

/// The kind of a step; small numbers select keys, servers and artifacts, so that steps interact.
#[derive(Debug, Clone)]
enum LogKind {
    Confirm {
        request: u8,
        behind: u64,
        replicas: u32,
        weight: u32,
    },
    Give {
        request: u8,
        key: u8,
        behind: u64,
    },
    Withdraw {
        request: u8,
        key: u8,
    },
    Start {
        key: u8,
        call: u8,
    },
    Finish {
        key: u8,
        attempt: u32,
        outcome: u8,
    },
    Abandon {
        before: u64,
    },
    Reserve {
        server: u8,
        incarnation: u64,
        artifact: u8,
    },
    Advance {
        id: u64,
        state: u8,
    },
    Release {
        id: u64,
    },
    Adopt {
        server: u8,
        incarnation: u64,
        artifact: u8,
    },
    Retire {
        server: u8,
        incarnation: u64,
    },
    Elapse {
        ms: u64,
    },
}

fn log_kind() -> impl Strategy<Value = LogKind> {
    prop_oneof![
        4 => (any::<u8>(), 0..3u64, 0..4u32, 1..4u32).prop_map(
            |(request, behind, replicas, weight)| LogKind::Confirm { request, behind, replicas, weight }),
        2 => (any::<u8>(), 0..5u8, 0..3u64)
            .prop_map(|(request, key, behind)| LogKind::Give { request, key, behind }),
        2 => (any::<u8>(), 0..5u8).prop_map(|(request, key)| LogKind::Withdraw { request, key }),
        3 => (0..4u8, 0..3u8).prop_map(|(key, call)| LogKind::Start { key, call }),
        3 => (0..4u8, 1..3u32, 0..3u8)
            .prop_map(|(key, attempt, outcome)| LogKind::Finish { key, attempt, outcome }),
        1 => (0..3u64).prop_map(|before| LogKind::Abandon { before }),
        8 => (0..3u8, 1..3u64, 0..4u8).prop_map(
            |(server, incarnation, artifact)| LogKind::Reserve { server, incarnation, artifact }),
        8 => (0..40u64, 0..4u8).prop_map(|(id, state)| LogKind::Advance { id, state }),
        2 => (0..40u64).prop_map(|id| LogKind::Release { id }),
        1 => (0..3u8, 1..3u64, 0..4u8).prop_map(
            |(server, incarnation, artifact)| LogKind::Adopt { server, incarnation, artifact }),
        1 => (0..3u8, 1..3u64)
            .prop_map(|(server, incarnation)| LogKind::Retire { server, incarnation }),
        1 => (0..50_000_000u64).prop_map(|ms| LogKind::Elapse { ms }),
    ]
}

fn log_step() -> impl Strategy<Value = LogStep> {
    (log_kind(), proptest::bool::weighted(0.2)).prop_map(|(kind, restores_replica)| LogStep {
        kind,
        restores_replica,
    })
}

fn wanted(replicas: u32, weight: u32) -> intent::FleetIntent {
    let mut wanted = fixture::intent();
    wanted.models[0].max_replicas = replicas;
    wanted.teams[0].weight = weight;
    wanted
}

fn artifact(number: u8) -> (placement::ReplicaArtifact, amount::ByteCount) {
    let (model, adapter, bytes) = match number {
        0 => ("alama-llm", None, 1_000),
        1 => ("alama-llm", Some("flood-marks"), 10),
        2 => ("alama-llm", Some("surveys"), 20),
        _ => ("small", None, 100),
    };
    let artifact = placement::ReplicaArtifact {
        model: name::ModelName::from(model),
        version: name::VersionName::from("v1"),
        adapter: adapter.map(name::AdapterName::from),
    };
    (artifact, amount::ByteCount(bytes))
}

fn server(number: u8) -> name::ServerName {
    name::ServerName::from(format!("server-{number}"))
}

fn order_key(number: u8) -> order::OrderKey {
    order::OrderKey {
        team: name::TeamName::from("mkoani"),
        service: name::ServiceName::from("foundry-desk"),
        key: number.to_string(),
    }
}

fn outcome(number: u8) -> order::OrderOutcome {
    match number {
        0 => order::OrderOutcome::Answered(order::OrderAnswer {
            status: 200,
            content_type: Some("text/plain".to_owned()),
            body: vec![1, 2, 3],
            truncated: false,
        }),
        1 => order::OrderOutcome::NotRun,
        _ => order::OrderOutcome::Unknown,
    }
}

fn reservation_state(number: u8) -> placement::ReservationState {
    match number {
        0 => placement::ReservationState::Ordered,
        1 => placement::ReservationState::Loaded,
        2 => placement::ReservationState::Draining,
        _ => placement::ReservationState::Unloading,
    }
}

fn entry() -> name::InstanceName {
    name::InstanceName::from("entry-1")
}

/// Builds the command of a step; `None` for a step that only lets time pass.
fn command(
    state: &control::ControlState,
    kind: &LogKind,
    now_ms: u64,
) -> Option<control::ControlCommand> {
    operator_command(state, kind, now_ms)
        .or_else(|| order_command(kind, now_ms))
        .or_else(|| reservation_command(kind))
}

fn operator_command(
    state: &control::ControlState,
    kind: &LogKind,
    now_ms: u64,
) -> Option<control::ControlCommand> {
    let base = |behind: &u64| amount::RevisionNumber(state.revision().0.saturating_sub(*behind));
    let request = |number: &u8| fixture::request("amina", &number.to_string());
    match kind {
        LogKind::Confirm {
            request: number,
            behind,
            replicas,
            weight,
        } => {
            let intent = wanted(*replicas, *weight);
            let base = base(behind);
            let current = &state.view().intent;
            let plan = intent::IntentPlan::between(base, current, &intent);
            let request = request(number);
            if number % 2 == 0 {
                return Some(control::ControlCommand::confirm(
                    request,
                    base,
                    current,
                    &intent,
                    plan.digest,
                    now_ms,
                ));
            }
            Some(control::ControlCommand::ConfirmPlan {
                request,
                base,
                intent,
                digest: plan.digest,
                now_ms,
            })
        }
        LogKind::Give {
            request: number,
            key,
            behind,
        } => Some(control::ControlCommand::GiveKey {
            request: request(number),
            base: base(behind),
            record: fixture::key_record(*key, "mkoani"),
            now_ms,
        }),
        LogKind::Withdraw {
            request: number,
            key,
        } => Some(control::ControlCommand::WithdrawKey {
            request: request(number),
            id: fixture::caller_key(*key).id().clone(),
            now_ms,
        }),
        _ => None,
    }
}

fn order_command(kind: &LogKind, now_ms: u64) -> Option<control::ControlCommand> {
    match kind {
        LogKind::Start { key, call } => Some(control::ControlCommand::StartOrder {
            key: order_key(*key),
            digest: "d".to_owned(),
            instance: entry(),
            incarnation: ENTRY_INCARNATION,
            call: u64::from(*call),
            now_ms,
        }),
        LogKind::Finish {
            key,
            attempt,
            outcome: number,
        } => Some(control::ControlCommand::FinishOrder {
            key: order_key(*key),
            attempt: *attempt,
            outcome: outcome(*number),
            now_ms,
        }),
        LogKind::Abandon { before } => Some(control::ControlCommand::AbandonOrders {
            instance: entry(),
            before_incarnation: amount::IncarnationNumber(*before),
            now_ms,
        }),
        _ => None,
    }
}

fn reservation_command(kind: &LogKind) -> Option<control::ControlCommand> {
    match kind {
        LogKind::Reserve {
            server: number,
            incarnation,
            artifact: artifact_number,
        } => {
            let (artifact, bytes) = artifact(*artifact_number);
            Some(control::ControlCommand::ReserveMemory {
                server: server(*number),
                incarnation: amount::IncarnationNumber(*incarnation),
                capacity: CAPACITY,
                artifact,
                bytes,
                sender: entry(),
                sender_incarnation: ENTRY_INCARNATION,
            })
        }
        LogKind::Advance { id, state } => Some(control::ControlCommand::AdvanceReservation {
            id: placement::ReservationId(*id),
            state: reservation_state(*state),
            sender: entry(),
            sender_incarnation: ENTRY_INCARNATION,
        }),
        LogKind::Release { id } => Some(control::ControlCommand::ReleaseReservation {
            id: placement::ReservationId(*id),
        }),
        LogKind::Adopt {
            server: number,
            incarnation,
            artifact: artifact_number,
        } => {
            let (artifact, bytes) = artifact(*artifact_number);
            Some(control::ControlCommand::AdoptReplica {
                server: server(*number),
                incarnation: amount::IncarnationNumber(*incarnation),
                artifact,
                bytes,
                sender: entry(),
                sender_incarnation: ENTRY_INCARNATION,
            })
        }
        LogKind::Retire {
            server: number,
            incarnation,
        } => Some(control::ControlCommand::RetireServer {
            server: server(*number),
            incarnation: amount::IncarnationNumber(*incarnation),
        }),
        _ => None,
    }
}

/// Checks the revision and the reservations after a command was applied.
fn check_outcome(
    state: &control::ControlState,
    before: amount::RevisionNumber,
    command: &control::ControlCommand,
    outcome: &control::ControlOutcome,
) -> Result<(), TestCaseError> {
    prop_assert!(state.revision() >= before, "the revision decreased");
    prop_assert!(state.revision() <= before.next(), "a revision was skipped");
    let control::ControlOutcome::Reserved(reservation) = outcome else {
        return Ok(());
    };
    if !matches!(command, control::ControlCommand::ReserveMemory { .. }) {
        return Ok(());
    }
    let on_server: Vec<&placement::MemoryReservation> = state
        .reservations()
        .iter()
        .filter(|known| known.server == reservation.server)
        .collect();
    let reserved: u64 = on_server.iter().map(|known| known.bytes.0).sum();
    prop_assert!(
        reserved <= CAPACITY.0,
        "{reserved} bytes are reserved, more than the capacity"
    );
    if reservation.artifact.adapter.is_none() {
        check_model_limits(state, reservation, &on_server)?;
    }
    Ok(())
}

/// Checks the replicas of a model and the unresolved orders on a server after a reservation.
fn check_model_limits(
    state: &control::ControlState,
    reservation: &placement::MemoryReservation,
    on_server: &[&placement::MemoryReservation],
) -> Result<(), TestCaseError> {
    let is_replica = |known: &placement::MemoryReservation| known.artifact.adapter.is_none();
    let replicas = state
        .reservations()
        .iter()
        .filter(|known| is_replica(known) && known.artifact.model == reservation.artifact.model)
        .count();
    let view = state.view();
    let model = view.intent.model(&reservation.artifact.model);
    let max_replicas = model.map_or(0, |model| model.max_replicas);
    prop_assert!(
        replicas <= max_replicas as usize,
        "{replicas} replicas, more than the intent allows"
    );
    let unresolved = on_server
        .iter()
        .filter(|known| is_replica(known) && known.state.is_unresolved());
    prop_assert_eq!(unresolved.count(), 1);
    Ok(())
}

/// Applies the steps to a state and to a replica that decodes each command, and to a view that
/// follows the changes.
fn run_steps(steps: &[LogStep]) -> Result<(), TestCaseError> {
    let mut state = control::ControlState::new();
    let mut replica = control::ControlState::new();
    let mut view = control::ConfigurationView::default();
    let mut now_ms = 0;
    for (step_index, step) in steps.iter().enumerate() {
        if let LogKind::Elapse { ms } = step.kind {
            now_ms += ms;
        }
        let Some(command) = command(&state, &step.kind, now_ms) else {
            continue;
        };
        let fence = amount::FencingNumber {
            term: 1,
            index: step_index as u64,
        };
        let before = state.revision();
        let outcome = state.apply(fence, &command);
        let decoded = control::ControlCommand::decode(&command.encode());
        let decoded = decoded.expect("an encoded command decodes");
        prop_assert_eq!(&replica.apply(fence, &decoded), &outcome);
        check_outcome(&state, before, &command, &outcome)?;
        for change in state
            .changes_since(view.revision)
            .expect("all changes are kept")
        {
            view.apply(&change)
                .expect("the change makes the next revision");
        }
        prop_assert_eq!(&view, &*state.view());
        if step.restores_replica {
            let restored = control::ControlState::restore(&replica.snapshot());
            replica = restored.expect("a snapshot restores");
        }
    }
    prop_assert_eq!(replica.snapshot(), state.snapshot());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn replicas_agree_and_limits_hold_for_random_commands(
        steps in proptest::collection::vec(log_step(), 0..60)
    ) {
        let mut all = vec![LogStep {
            kind: LogKind::Confirm { request: 0, behind: 0, replicas: 2, weight: 1 },
            restores_replica: false,
        }];
        all.extend(steps);
        run_steps(&all)?;
    }
}
