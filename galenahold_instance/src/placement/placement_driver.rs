//! Carries out the placement's decisions while this instance leads.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control::ControlState;
use galenahold_placement::demand;
use galenahold_placement::engine;
use galenahold_settings::InstanceSettings;
use log::{info, warn};
use tokio::sync::mpsc;

use crate::control;
use crate::peer;
use crate::placement;
use crate::placement::engine_term::EffectRunners;
use crate::platform;
use crate::registry;
use crate::task;
use crate::timer;

/// How often the placement looks at the time.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// How much longer than the lease a new leader waits, for demand and announcements to come in.
const TAKEOVER_MARGIN: time::Duration = time::Duration::from_millis(300);

/// What the driver is told by the tasks that it started, and by other instances.
#[derive(Debug)]
pub(crate) enum DriverEvent {
    /// Something happened in a term.
    Event {
        /// The term.
        term: u64,
        /// What happened.
        event: engine::PlacementEvent,
    },
    /// An instance reported demand.
    Demand(demand::DemandReport),
    /// A sender of an earlier term says that its order never left.
    NeverLeft {
        /// The order.
        id: galenahold_domain::placement::ReservationId,
        /// Its fencing number.
        fence: galenahold_domain::amount::FencingNumber,
    },
    /// A commit of a term has no known outcome.
    CommitUnknown {
        /// The term.
        term: u64,
    },
}

/// Carries out the placement's decisions while this instance leads.
pub(crate) struct PlacementDriver {
    /// The settings.
    pub(crate) settings: sync::Arc<InstanceSettings>,
    /// This instance's member of the control group.
    pub(crate) member: sync::Arc<control::ControlGroup>,
    /// The backend servers.
    pub(crate) registry: registry::ServerRegistry,
    /// The instances.
    pub(crate) directory: peer::PeerDirectory,
    /// Commits.
    pub(crate) commands: placement::CommandRunner,
    /// Sends orders.
    pub(crate) orders: placement::OrderRunner,
    /// The metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// The engine, while this instance leads.
    pub(crate) current: Option<placement::EngineTerm>,
}

impl PlacementDriver {
    /// Starts to decide until the group stops.
    pub(crate) fn start(
        mut self,
        mut events: mpsc::UnboundedReceiver<DriverEvent>,
        timer: &timer::TimerService,
        group: &task::TaskGroup,
    ) {
        let mut subscription = timer.subscribe(TICK_PERIOD);
        let mut versions = self.registry.subscribe();
        group.spawn_until_stop(async move {
            loop {
                let driver_event = tokio::select! {
                    driver_event = events.recv() => driver_event,
                    tick = subscription.tick() => match tick {
                        Some(_) => None,
                        None => return,
                    },
                    _ = versions.changed() => None,
                };
                self.handle(driver_event, time::Instant::now());
            }
        });
    }

    fn handle(&mut self, driver_event: Option<DriverEvent>, now: time::Instant) {
        self.update_leadership(now);
        let Some(mut current) = self.current.take() else {
            return;
        };
        let keep = self.step_engine(&mut current, driver_event, now);
        if keep {
            self.current = Some(current);
        }
    }

    /// Begins and ends the engine with the leadership.
    fn update_leadership(&mut self, now: time::Instant) {
        let term = self.member.leading_term().filter(|_| self.has_intent());
        let held = self.current.as_ref().map(placement::EngineTerm::term);
        if term == held {
            return;
        }
        self.current = term.map(|term| {
            info!(term = term; "placement begins");
            let settings = self.engine_settings();
            self.member
                .state()
                .read(|state| placement::EngineTerm::begin(term, settings, state, now))
        });
    }

    /// Returns whether operators have confirmed anything yet: before that nothing is to be changed, and
    /// what engines hold is no surplus.
    fn has_intent(&self) -> bool {
        let revision = self.member.state().read(ControlState::revision);
        revision > amount::RevisionNumber::ZERO
    }

    /// Tells the engine what is new; returns whether it is to be kept.
    fn step_engine(
        &self,
        current: &mut placement::EngineTerm,
        driver_event: Option<DriverEvent>,
        now: time::Instant,
    ) -> bool {
        let runners = EffectRunners {
            commands: &self.commands,
            orders: &self.orders,
            metrics: &self.metrics,
        };
        self.member
            .state()
            .read(|state| current.update_intent(state, now));
        current.update_servers(&self.registry, &self.settings, &runners, now);
        match driver_event {
            Some(DriverEvent::Event { term, event }) if term == current.term() => {
                current.step(event, &runners, now);
            }
            Some(DriverEvent::Demand(report)) => {
                current.step(
                    engine::PlacementEvent::DemandReported(report),
                    &runners,
                    now,
                );
            }
            Some(DriverEvent::NeverLeft { id, fence }) => {
                let event = engine::PlacementEvent::OrderNeverSent { id, fence };
                current.step(event, &runners, now);
            }
            Some(DriverEvent::CommitUnknown { term }) if term == current.term() => {
                warn!(term = term; "a commit of the placement has no known outcome; it begins anew");
                return false;
            }
            // News of an earlier term.
            Some(DriverEvent::Event { .. } | DriverEvent::CommitUnknown { .. }) => {}
            None => {
                self.report_ended_senders(current, &runners, now);
                current.step(engine::PlacementEvent::Tick, &runners, now);
            }
        }
        true
    }

    /// Tells which incarnations of instances have ended: a later one was heard of.
    fn report_ended_senders(
        &self,
        current: &mut placement::EngineTerm,
        runners: &EffectRunners<'_>,
        now: time::Instant,
    ) {
        let own = self.directory.own().clone();
        for card in self.directory.others().into_iter().chain([own]) {
            let event = engine::PlacementEvent::SenderEnded {
                instance: card.name,
                before: card.incarnation,
            };
            current.step(event, runners, now);
        }
    }

    fn engine_settings(&self) -> engine::EngineSettings {
        let own = self.directory.own();
        let timing = &self.settings.timing;
        // Orders that an earlier leadership of this very process sent may still be under way.
        let own_orders = if self.orders.is_busy() {
            self.settings.placement.load_timeout()
        } else {
            time::Duration::ZERO
        };
        engine::EngineSettings::new(own.name.clone(), own.incarnation)
            .with_takeover_wait(timing.election_timeout() + TAKEOVER_MARGIN + own_orders)
            .with_server_expiry(timing.announcement_ttl())
            .with_drain_notice(timing.key_freshness() + TAKEOVER_MARGIN)
    }
}
