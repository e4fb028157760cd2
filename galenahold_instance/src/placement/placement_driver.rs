//! Drives the placement engine while this instance is the leader.

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

/// The interval between ticks of the placement engine.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(50);

/// The time beyond the lease that a new leader waits, so that demand and announcements arrive.
const TAKEOVER_MARGIN: time::Duration = time::Duration::from_millis(300);

/// An event for the driver, from its own tasks or from other instances.
#[derive(Debug)]
pub(crate) enum DriverEvent {
    /// An event for the placement engine of a term.
    Event {
        /// The term.
        term: u64,
        /// The event.
        event: engine::PlacementEvent,
    },
    /// An instance reported demand.
    Demand(demand::DemandReport),
    /// The sender of an order in an earlier term reports that the order was never sent.
    NeverLeft {
        /// The reservation of the order.
        id: galenahold_domain::placement::ReservationId,
        /// The fencing number of the order.
        fence: galenahold_domain::amount::FencingNumber,
    },
    /// A commit in a term has no known outcome.
    Unconfirmed {
        /// The term.
        term: u64,
    },
}

/// Passes events to the placement engine and executes its effects while this instance is the leader.
pub(crate) struct PlacementDriver {
    /// The settings of the instance.
    pub(crate) settings: sync::Arc<InstanceSettings>,
    /// This instance's member of the control group.
    pub(crate) member: sync::Arc<control::ControlGroup>,
    /// The known backend servers.
    pub(crate) registry: registry::ServerRegistry,
    /// The known instances.
    pub(crate) directory: peer::PeerDirectory,
    /// Commits commands.
    pub(crate) commands: placement::CommandRunner,
    /// Sends orders.
    pub(crate) orders: placement::OrderRunner,
    /// The metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// The engine of the current term, while this instance is the leader.
    pub(crate) current: Option<placement::EngineTerm>,
}

impl PlacementDriver {
    /// Starts the driver, which runs until the task group stops.
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

    /// Creates or drops the engine when leadership changes.
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

    /// Returns whether operators have confirmed an intent. Before that nothing may be changed, and the replicas
    /// of engines do not count as surplus.
    fn has_intent(&self) -> bool {
        let revision = self.member.state().read(ControlState::revision);
        revision > amount::RevisionNumber::ZERO
    }

    /// Passes new inputs to the engine; returns whether to keep the engine.
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
            Some(DriverEvent::Unconfirmed { term }) if term == current.term() => {
                warn!(term = term; "a placement commit has no known outcome; restarting the placement engine");
                return false;
            }
            // Events of an earlier term are ignored.
            Some(DriverEvent::Event { .. } | DriverEvent::Unconfirmed { .. }) => {}
            None => {
                self.report_ended_senders(current, &runners, now);
                current.step(engine::PlacementEvent::Tick, &runners, now);
            }
        }
        true
    }

    /// Tells the engine which incarnations of instances have ended, because a later one is known.
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
        // Orders that this process sent in an earlier term may still be in progress.
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
