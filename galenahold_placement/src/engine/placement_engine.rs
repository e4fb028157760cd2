//! Placement engine of one leadership.

use std::time;

use galenahold_domain::{intent, placement};

use crate::engine;
use crate::engine::placement_state::PlacementState;
use crate::engine::{
    apply_announcement, apply_demand, apply_order, apply_reservation, load_planner, replica_drainer,
};
use crate::policy;

/// Decides which models and adapters are loaded on which servers, for one leadership.
///
/// Each decision is first requested as a commit; the order to the backend server is sent only after
/// the commit is confirmed. A replica whose order was not answered counts as loaded until the
/// server answers a repeated order, lists the replica in an announcement, or restarts.
///
/// A new leader waits before it changes anything. It takes over unsettled orders of earlier leaders
/// at once on servers that check fencing numbers. On other servers it first has to know that the
/// sender has ended, or that it never sent the order.
#[derive(Debug)]
pub struct PlacementEngine<
    O = policy::ArrivalOrder,
    K = policy::HistogramKeepAlive,
    D = policy::NearestCheckpoint,
> {
    state: PlacementState,
    policies: engine::PlacementPolicies<O, K, D>,
}

impl<O, K, D> PlacementEngine<O, K, D>
where
    O: policy::LoadOrder,
    K: policy::KeepAlive,
    D: policy::Destination,
{
    /// Creates the engine of a leadership that starts now.
    #[must_use]
    pub fn new(
        settings: engine::EngineSettings,
        policies: engine::PlacementPolicies<O, K, D>,
        started_at: time::Instant,
    ) -> Self {
        Self {
            state: PlacementState::new(settings, started_at),
            policies,
        }
    }

    /// Processes an event; returns the resulting effects in order.
    pub fn step(
        &mut self,
        event: engine::PlacementEvent,
        now: time::Instant,
    ) -> Vec<engine::PlacementEffect> {
        self.apply(event, now);
        if self.state.plan_due {
            load_planner::plan(&mut self.state, &self.policies, now);
        }
        std::mem::take(&mut self.state.effects)
    }

    /// Estimates how long a request for an artifact waits for a loaded replica; zero if one is
    /// loaded.
    #[must_use]
    pub fn predict_cold_start(
        &self,
        artifact: &placement::ReplicaArtifact,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let state = &self.state;
        let key = state.catalog.key(artifact)?;
        let loading = state.loading_replicas(key, now);
        let serving = state.serving_replicas(key, now);
        if serving > loading {
            return Some(time::Duration::ZERO);
        }
        let load = state.reload_time(key);
        if loading > 0 {
            return Some(load);
        }
        let ahead = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        Some(state.budget.queue_delay(ahead) + load)
    }

    /// Returns the number of known reservations.
    #[must_use]
    pub fn reservation_count(&self) -> usize {
        self.state.reservations.len()
    }

    fn apply(&mut self, event: engine::PlacementEvent, now: time::Instant) {
        let state = &mut self.state;
        let keep_alive = &self.policies.keep_alive;
        match event {
            engine::PlacementEvent::IntentChanged(intent) => self.apply_intent(&intent, now),
            engine::PlacementEvent::ServerAnnounced { announcement, age } => {
                apply_announcement::apply(state, &announcement, age, now);
            }
            engine::PlacementEvent::ReservationChanged(reservation) => {
                apply_reservation::apply(state, &reservation, keep_alive, now);
                self.drain_superseded(&reservation, now);
            }
            engine::PlacementEvent::ReservationReleased { id } => {
                apply_reservation::apply_release(state, id, now);
            }
            engine::PlacementEvent::ReservationRefused { id } => {
                apply_reservation::apply_refusal(state, id);
            }
            engine::PlacementEvent::ReserveRefused { server, artifact } => {
                apply_reservation::apply_reserve_refusal(state, &server, &artifact, now);
            }
            engine::PlacementEvent::ServerRetired {
                server,
                incarnation,
            } => apply_reservation::apply_retire(state, &server, incarnation, now),
            engine::PlacementEvent::DemandReported(report) => {
                apply_demand::apply(state, &report, keep_alive, now);
            }
            engine::PlacementEvent::OrderEnded { id, fence, outcome } => {
                apply_order::apply(state, id, fence, outcome, now);
            }
            engine::PlacementEvent::OrderNeverSent { id, fence } => {
                apply_order::apply_never_sent(state, id, fence);
            }
            engine::PlacementEvent::SenderEnded { instance, before } => {
                let first_live_incarnation =
                    state.first_live_incarnations.entry(instance).or_default();
                *first_live_incarnation = before.max(*first_live_incarnation);
            }
            engine::PlacementEvent::Tick => self.tick(now),
        }
    }

    fn apply_intent(&mut self, intent: &intent::FleetIntent, now: time::Instant) {
        let state = &mut self.state;
        state.budget.set_limits(intent.store.clone());
        for key in state.catalog.set_intent(intent, now) {
            state.refresh(key, now);
            if state.is_active(now) {
                replica_drainer::drain_surplus(state, key, now);
            }
        }
        state.plan_due = true;
    }

    /// Drains replicas that a newly loaded replica makes superfluous: surplus ones and those of old
    /// versions.
    fn drain_superseded(&mut self, reservation: &placement::MemoryReservation, now: time::Instant) {
        let state = &mut self.state;
        let loaded = reservation.state == placement::ReservationState::Loaded;
        if !loaded || !state.is_active(now) {
            return;
        }
        let versions: Vec<_> = state.catalog.versions_of(&reservation.artifact).collect();
        for key in versions {
            replica_drainer::drain_surplus(state, key, now);
        }
    }

    fn tick(&mut self, now: time::Instant) {
        let state = &mut self.state;
        apply_announcement::expire(state, now);
        apply_demand::expire(state, &self.policies.keep_alive, now);
        for key in state.scale_up_due(now) {
            state.refresh(key, now);
        }
        state.plan_due = true;
        if !state.is_active(now) {
            return;
        }
        apply_order::retry_unsettled(state, now);
        replica_drainer::drain_idle(state, &self.policies.keep_alive, now);
        replica_drainer::unload_drained(state, now);
    }
}
