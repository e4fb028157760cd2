//! Commits the commands of the placement engine to the replicated log.

use std::sync;

use galenahold_domain::control as domain;
use galenahold_domain::name;
use galenahold_domain::placement as reserved;
use galenahold_placement::engine;
use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::control;
use crate::placement;
use crate::task;

/// Commits the commands of the placement engine in the order in which it issues them.
#[derive(Clone)]
pub(crate) struct CommandRunner {
    member: sync::Arc<control::ControlGroup>,
    card: message::InstanceProfile,
    events: mpsc::UnboundedSender<placement::DriverEvent>,
    group: task::TaskGroup,
}

/// The subject of a command, from which the event for its outcome is made.
#[derive(Debug, Clone)]
enum CommitSubject {
    Reserve {
        server: name::ServerName,
        artifact: reserved::ReplicaArtifact,
    },
    Advance {
        id: reserved::ReservationId,
    },
    Release {
        id: reserved::ReservationId,
    },
    Retire {
        server: name::ServerName,
        incarnation: galenahold_domain::amount::IncarnationNumber,
    },
}

impl CommandRunner {
    /// Creates a runner that sends the outcome of each command to `events`.
    pub(crate) fn new(
        member: sync::Arc<control::ControlGroup>,
        card: message::InstanceProfile,
        events: mpsc::UnboundedSender<placement::DriverEvent>,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            member,
            card,
            events,
            group,
        }
    }

    /// Commits a new state of a reservation, with this instance as the sender of the order that follows.
    pub(crate) fn advance(
        &self,
        term: u64,
        id: reserved::ReservationId,
        state: reserved::ReservationState,
    ) {
        let command = domain::ControlCommand::AdvanceReservation {
            id,
            state,
            sender: self.card.name.clone(),
            sender_incarnation: self.card.incarnation,
        };
        self.run(term, &command, CommitSubject::Advance { id });
    }

    /// Commits the release of a reservation.
    pub(crate) fn release(&self, term: u64, id: reserved::ReservationId) {
        let command = domain::ControlCommand::ReleaseReservation { id };
        self.run(term, &command, CommitSubject::Release { id });
    }

    /// Commits that earlier incarnations of a backend server have ended.
    pub(crate) fn retire(
        &self,
        term: u64,
        server: name::ServerName,
        incarnation: galenahold_domain::amount::IncarnationNumber,
    ) {
        let command = domain::ControlCommand::RetireServer {
            server: server.clone(),
            incarnation,
        };
        let subject = CommitSubject::Retire {
            server,
            incarnation,
        };
        self.run(term, &command, subject);
    }

    /// Commits a memory reservation for a new replica, or for a replica that exists without a decision.
    pub(crate) fn reserve(&self, term: u64, effect: engine::PlacementEffect) {
        let sender = self.card.name.clone();
        let sender_incarnation = self.card.incarnation;
        let (command, server, artifact) = match effect {
            engine::PlacementEffect::Reserve {
                server,
                incarnation,
                capacity,
                artifact,
                bytes,
            } => {
                let command = domain::ControlCommand::ReserveMemory {
                    server: server.clone(),
                    incarnation,
                    capacity,
                    artifact: artifact.clone(),
                    bytes,
                    sender,
                    sender_incarnation,
                };
                (command, server, artifact)
            }
            engine::PlacementEffect::Adopt {
                server,
                incarnation,
                artifact,
                bytes,
                ..
            } => {
                let command = domain::ControlCommand::AdoptReplica {
                    server: server.clone(),
                    incarnation,
                    artifact: artifact.clone(),
                    bytes,
                    sender,
                    sender_incarnation,
                };
                (command, server, artifact)
            }
            _ => return,
        };
        self.run(term, &command, CommitSubject::Reserve { server, artifact });
    }

    fn run(&self, term: u64, command: &domain::ControlCommand, subject: CommitSubject) {
        // The command is proposed immediately, so that commands are committed in the order of the calls.
        let committing = self.member.command(command);
        let events = self.events.clone();
        self.group.spawn_until_stop(async move {
            let driver_event = match committing.await {
                Ok(outcome) => placement::DriverEvent::Event {
                    term,
                    event: event_of(outcome, subject),
                },
                Err(control::CommandError::NotCommitted) => placement::DriverEvent::Event {
                    term,
                    event: refusal_of(subject),
                },
                Err(control::CommandError::Unknown) => placement::DriverEvent::Unconfirmed { term },
            };
            // The driver may have stopped.
            let _ = events.send(driver_event);
        });
    }
}

fn event_of(outcome: domain::ControlOutcome, subject: CommitSubject) -> engine::PlacementEvent {
    match (outcome, subject) {
        (
            domain::ControlOutcome::Reserved(reservation)
            | domain::ControlOutcome::Advanced(reservation),
            _,
        ) => engine::PlacementEvent::ReservationChanged(reservation),
        (domain::ControlOutcome::ReservationChanged, CommitSubject::Release { id }) => {
            engine::PlacementEvent::ReservationReleased { id }
        }
        (
            domain::ControlOutcome::ReservationChanged,
            CommitSubject::Retire {
                server,
                incarnation,
            },
        ) => engine::PlacementEvent::ServerRetired {
            server,
            incarnation,
        },
        (_, subject) => refusal_of(subject),
    }
}

/// Returns the event for a command that was refused or certainly not committed.
fn refusal_of(subject: CommitSubject) -> engine::PlacementEvent {
    match subject {
        CommitSubject::Reserve { server, artifact } => {
            engine::PlacementEvent::ReserveRefused { server, artifact }
        }
        CommitSubject::Advance { id } | CommitSubject::Release { id } => {
            engine::PlacementEvent::ReservationRefused { id }
        }
        // A retirement that was not committed is requested again at the next announcement.
        CommitSubject::Retire {
            server,
            incarnation,
        } => engine::PlacementEvent::ServerRetired {
            server,
            incarnation,
        },
    }
}
