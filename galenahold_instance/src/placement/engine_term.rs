//! Runs the placement engine for one term as leader.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::control as domain;
use galenahold_domain::name;
use galenahold_domain::placement as reserved;
use galenahold_domain::server;
use galenahold_placement::engine;
use galenahold_settings::InstanceSettings;
use log::{error, info};

use crate::placement;
use crate::platform;
use crate::registry;

/// The placement engine of one term as leader, with the versions of the inputs that it has received.
pub(crate) struct EngineTerm {
    term: u64,
    engine: engine::PlacementEngine,
    intent_revision: amount::RevisionNumber,
    registry_version: u64,
}

/// The components that execute the effects of the placement engine.
pub(crate) struct EffectRunners<'a> {
    /// Commits commands.
    pub(crate) commands: &'a placement::CommandRunner,
    /// Sends orders.
    pub(crate) orders: &'a placement::OrderRunner,
    /// Counts orders and alarms.
    pub(crate) metrics: &'a platform::FleetMetrics,
}

impl EngineTerm {
    /// Creates the engine of a term that starts now, and initializes it from the replicated state.
    pub(crate) fn begin(
        term: u64,
        settings: engine::EngineSettings,
        state: &domain::ControlState,
        now: time::Instant,
    ) -> Self {
        let policies = engine::PlacementPolicies::default();
        let mut engine_term = Self {
            term,
            engine: engine::PlacementEngine::new(settings, policies, now),
            intent_revision: amount::RevisionNumber::ZERO,
            registry_version: 0,
        };
        engine_term.update_intent(state, now);
        for reservation in state.reservations().iter() {
            let event = engine::PlacementEvent::ReservationChanged(reservation.clone());
            // The effects are ignored here, because the next tick of the engine yields them again.
            engine_term.engine.step(event, now);
        }
        engine_term
    }

    /// Returns the term of the leadership.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Passes an event to the engine and executes the resulting effects.
    pub(crate) fn step(
        &mut self,
        event: engine::PlacementEvent,
        runners: &EffectRunners<'_>,
        now: time::Instant,
    ) {
        for effect in self.engine.step(event, now) {
            self.execute(effect, runners);
        }
    }

    /// Passes the active intent to the engine if its revision has changed.
    pub(crate) fn update_intent(&mut self, state: &domain::ControlState, now: time::Instant) {
        let view = state.view();
        if view.revision == self.intent_revision && view.revision != amount::RevisionNumber::ZERO {
            return;
        }
        self.intent_revision = view.revision;
        let event = engine::PlacementEvent::IntentChanged((*view.intent).clone());
        self.engine.step(event, now);
    }

    /// Passes new announcements to the engine and executes the resulting effects.
    pub(crate) fn update_servers(
        &mut self,
        registry: &registry::ServerRegistry,
        settings: &InstanceSettings,
        runners: &EffectRunners<'_>,
        now: time::Instant,
    ) {
        for entry in registry.entries_since(self.registry_version) {
            self.registry_version = self.registry_version.max(entry.version);
            let age = entry.age(now);
            let announcement = with_fencing_setting(&entry.announcement, settings);
            let event = engine::PlacementEvent::ServerAnnounced { announcement, age };
            self.step(event, runners, now);
        }
    }

    fn execute(&self, effect: engine::PlacementEffect, runners: &EffectRunners<'_>) {
        let term = self.term;
        let commands = runners.commands;
        match effect {
            engine::PlacementEffect::Reserve { .. } => commands.reserve(term, effect),
            engine::PlacementEffect::Adopt {
                ref server,
                ref artifact,
                alarm,
                ..
            } => {
                report_undecided(server, artifact, alarm, runners.metrics);
                commands.reserve(term, effect);
            }
            engine::PlacementEffect::TakeOver { id, state } => commands.advance(term, id, state),
            engine::PlacementEffect::MarkLoaded { id } => {
                commands.advance(term, id, reserved::ReservationState::Loaded);
            }
            engine::PlacementEffect::Drain { id } => {
                commands.advance(term, id, reserved::ReservationState::Draining);
            }
            engine::PlacementEffect::Unload { id } => {
                commands.advance(term, id, reserved::ReservationState::Unloading);
            }
            engine::PlacementEffect::Release { id } => commands.release(term, id),
            engine::PlacementEffect::Retire {
                server,
                incarnation,
            } => commands.retire(term, server, incarnation),
            engine::PlacementEffect::SendLoad { reservation } => {
                runners
                    .orders
                    .send(term, reservation, placement::OrderAction::Load);
            }
            engine::PlacementEffect::SendUnload { reservation } => {
                runners
                    .orders
                    .send(term, reservation, placement::OrderAction::Unload);
            }
        }
    }
}

/// Reports a replica that a backend server announced without a decision for it, as an alarm or for information.
fn report_undecided(
    server: &name::ServerName,
    artifact: &reserved::ReplicaArtifact,
    alarm: bool,
    metrics: &platform::FleetMetrics,
) {
    if alarm {
        metrics.undecided.inc();
        error!(server:% = server, model:% = artifact.model; "replica exists without a placement decision");
    } else {
        info!(server:% = server, model:% = artifact.model; "existing replica adopted");
    }
}

/// Returns the announcement, with the settings deciding whether the backend server checks fencing numbers.
fn with_fencing_setting(
    announcement: &server::ServerAnnouncement,
    settings: &InstanceSettings,
) -> server::ServerAnnouncement {
    let mut announcement = announcement.clone();
    announcement.checks_fencing = settings.checks_fencing(
        &announcement.name,
        &announcement.data_centre,
        Some(announcement.checks_fencing),
    );
    announcement
}
