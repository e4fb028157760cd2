//! Runs orders to model engines and reports their outcomes.

use std::sync;
use std::sync::atomic;
use std::time;

use galenahold_domain::placement as reserved;
use galenahold_placement::engine;
use galenahold_wire::message;
use log::{info, warn};
use tokio::sync::mpsc;

use crate::backend;
use crate::control;
use crate::peer;
use crate::placement;
use crate::platform;
use crate::registry;
use crate::task;

/// How long a former leader tries to report that its order was never sent.
const UNSENT_REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Sends the orders of the placement engine to model engines, each in its own task.
#[derive(Clone)]
pub(crate) struct OrderRunner {
    /// Sends single orders.
    pub(crate) client: placement::EngineClient,
    /// The member of the control group, which knows whether this instance is still the leader.
    pub(crate) member: sync::Arc<control::ControlGroup>,
    /// Calls a later leader.
    pub(crate) control: peer::ControlClient<control::ControlHandler>,
    /// Resolves the addresses of engines.
    pub(crate) registry: registry::ServerRegistry,
    /// Notifies instances of loaded replicas.
    pub(crate) notices: placement::NoticeSender,
    /// The timeout of an order.
    pub(crate) time_limit: time::Duration,
    /// The number of orders in progress.
    pub(crate) in_flight: sync::Arc<atomic::AtomicUsize>,
    /// The metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// Receives the outcomes.
    pub(crate) events: mpsc::UnboundedSender<placement::DriverEvent>,
    /// The task group of the sending tasks.
    pub(crate) group: task::TaskGroup,
}

impl OrderRunner {
    /// Returns whether orders of this process are in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.in_flight.load(atomic::Ordering::SeqCst) > 0
    }

    /// Sends an order for a committed reservation.
    pub(crate) fn send(
        &self,
        term: u64,
        reservation: reserved::MemoryReservation,
        action: placement::OrderAction,
    ) {
        let runner = self.clone();
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        self.group.spawn_until_stop(async move {
            let outcome = runner.execute(term, &reservation, action).await;
            runner.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
            runner.report_outcome(term, &reservation, outcome).await;
        });
    }

    async fn execute(
        &self,
        term: u64,
        reservation: &reserved::MemoryReservation,
        action: placement::OrderAction,
    ) -> engine::OrderOutcome {
        let Some(address) = self.address(reservation) else {
            return engine::OrderOutcome::NotSent;
        };
        let order = placement::EngineOrder {
            address,
            reservation: reservation.clone(),
            action,
            deadline: time::Instant::now() + self.time_limit,
        };
        info!(
            order = reservation.id.0,
            server:% = reservation.server,
            model:% = reservation.artifact.model,
            adapter = reservation.artifact.adapter.as_deref().unwrap_or_default(),
            fence:% = reservation.fence,
            action:? = action;
            "order sent"
        );
        self.count(action);
        let may_send = || self.member.leading_term() == Some(term);
        match self.client.send(&order, may_send).await {
            placement::OrderResult::Done => match action {
                placement::OrderAction::Load => {
                    self.notices.send(reservation);
                    engine::OrderOutcome::Loaded
                }
                placement::OrderAction::Unload => engine::OrderOutcome::Unloaded,
            },
            placement::OrderResult::Refused { reason } => {
                warn!(order = reservation.id.0, reason = reason.as_str(); "order refused");
                engine::OrderOutcome::Refused
            }
            placement::OrderResult::NotSent => engine::OrderOutcome::NotSent,
            placement::OrderResult::Unknown => {
                warn!(order = reservation.id.0; "order without an answer");
                engine::OrderOutcome::Unknown
            }
        }
    }

    async fn report_outcome(
        &self,
        term: u64,
        reservation: &reserved::MemoryReservation,
        outcome: engine::OrderOutcome,
    ) {
        let event = engine::PlacementEvent::OrderEnded {
            id: reservation.id,
            fence: reservation.fence,
            outcome,
        };
        // The driver may have stopped.
        let _ = self
            .events
            .send(placement::DriverEvent::Event { term, event });
        let deposed = self.member.leading_term() != Some(term);
        if deposed && outcome == engine::OrderOutcome::NotSent {
            let call = message::ControlCall::NeverLeft {
                id: reservation.id,
                fence: reservation.fence,
            };
            let deadline = time::Instant::now() + UNSENT_REPORT_TIMEOUT;
            // If the call fails, the memory stays reserved until the engine's announcements show the outcome.
            let _ = self.control.call(call, deadline).await;
        }
    }

    fn address(
        &self,
        reservation: &reserved::MemoryReservation,
    ) -> Option<backend::BackendAddress> {
        let entry = self.registry.entry(&reservation.server)?;
        let announcement = &entry.announcement;
        (announcement.incarnation == reservation.incarnation).then(|| backend::BackendAddress {
            server: announcement.name.clone(),
            incarnation: announcement.incarnation,
            socket: announcement.address,
        })
    }

    fn count(&self, action: placement::OrderAction) {
        match action {
            placement::OrderAction::Load => self.metrics.loads.inc(),
            placement::OrderAction::Unload => self.metrics.unloads.inc(),
        };
    }
}
