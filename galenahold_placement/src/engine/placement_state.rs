//! State of the placement engine.

use std::collections;
use std::time;

use galenahold_domain::{amount, intent, name, placement, server};

use crate::budget;
use crate::engine;
use crate::engine::artifact_catalog::ArtifactCatalog;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::idle_index::IdleIndex;
use crate::engine::instance_entry::InstanceEntry;
use crate::engine::order_state::OrderState;
use crate::engine::reservation_table::ReservationTable;
use crate::engine::server_inventory::ServerInventory;
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;
use crate::engine::team_loads::TeamLoads;
use crate::policy;

/// State of the placement engine, with the indexes that its decisions need.
#[derive(Debug)]
pub(super) struct PlacementState {
    pub(super) settings: engine::EngineSettings,
    pub(super) active_from: time::Instant,
    pub(super) catalog: ArtifactCatalog,
    pub(super) servers: ServerInventory,
    pub(super) reservations: ReservationTable,
    pub(super) budget: budget::StoreBudget,
    pub(super) load_time: budget::LoadTime,
    pub(super) idle: IdleIndex,
    pub(super) instances: collections::BTreeMap<name::InstanceName, InstanceEntry>,
    /// For each instance, the first incarnation that may be alive.
    pub(super) first_live_incarnations:
        collections::BTreeMap<name::InstanceName, amount::IncarnationNumber>,
    pub(super) team_loads: TeamLoads,
    /// Artifacts that need a load.
    pub(super) waiting: collections::BTreeSet<ArtifactKey>,
    /// Artifacts whose requests wait although a replica is loaded.
    pub(super) saturated: collections::BTreeSet<ArtifactKey>,
    /// Whether a change may allow a waiting load to start.
    pub(super) plan_due: bool,
    pub(super) effects: Vec<engine::PlacementEffect>,
}

impl PlacementState {
    pub(super) fn new(settings: engine::EngineSettings, started_at: time::Instant) -> Self {
        Self {
            active_from: started_at + settings.takeover_wait,
            settings,
            catalog: ArtifactCatalog::default(),
            servers: ServerInventory::default(),
            reservations: ReservationTable::default(),
            budget: budget::StoreBudget::new(intent::StoreLimits::default()),
            load_time: budget::LoadTime::default(),
            idle: IdleIndex::default(),
            instances: collections::BTreeMap::new(),
            first_live_incarnations: collections::BTreeMap::new(),
            team_loads: TeamLoads::default(),
            waiting: collections::BTreeSet::new(),
            saturated: collections::BTreeSet::new(),
            plan_due: false,
            effects: Vec::new(),
        }
    }

    /// Returns whether the takeover wait of a new leader is over.
    pub(super) fn is_active(&self, now: time::Instant) -> bool {
        now >= self.active_from
    }

    /// Counts the loaded and loading replicas on servers that can serve requests.
    pub(super) fn serving_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        self.count_replicas(key, |state, entry| {
            entry.serves() && state.can_serve(entry.server, now)
        })
    }

    /// Counts the replicas that may be in memory, on servers that are not lost.
    pub(super) fn reserved_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        let lost = self.settings.server_lost_after;
        self.count_replicas(key, |state, entry| {
            let server = state.servers.get(entry.server);
            server.is_some_and(|server| {
                server.announced.is_none() || server.was_seen_within(lost, now)
            })
        })
    }

    /// Counts the replicas that are being loaded, on servers that can serve requests.
    pub(super) fn loading_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        self.count_replicas(key, |state, entry| {
            entry.is_in(placement::ReservationState::Ordered) && state.can_serve(entry.server, now)
        })
    }

    /// Returns the reservation of an artifact on a server.
    pub(super) fn reservation_at(
        &self,
        server: ServerKey,
        artifact: ArtifactKey,
    ) -> Option<placement::ReservationId> {
        let server = self.servers.get(server)?;
        server.reservations.iter().copied().find(|id| {
            self.reservations.get(*id).is_some_and(|entry| {
                entry.artifact == artifact && entry.reservation.incarnation == server.incarnation
            })
        })
    }

    /// Recomputes whether an artifact needs a load.
    pub(super) fn refresh(&mut self, key: ArtifactKey, now: time::Instant) {
        let serving = self.serving_replicas(key, now);
        let reserved = self.reserved_replicas(key, now);
        let loading = self.loading_replicas(key, now);
        let scale_up_after = self.settings.scale_up_after;
        let Some(entry) = self.catalog.get_mut(key) else {
            self.waiting.remove(&key);
            self.saturated.remove(&key);
            return;
        };
        let expected = serving + entry.proposed;
        let has_waiting = entry.demand.waiting() > 0;
        let is_saturated = has_waiting && serving > 0 && loading + entry.proposed == 0;
        entry.saturated_since = is_saturated.then(|| entry.saturated_since.unwrap_or(now));
        let scale_up_due = entry
            .saturated_since
            .is_some_and(|since| now.saturating_duration_since(since) >= scale_up_after);
        let is_cold = expected == 0 && (has_waiting || !entry.waiting_adapters.is_empty());
        let below_min = expected < entry.min_replicas;
        let may_load = entry.in_intent && reserved + entry.proposed < entry.max_replicas;
        let needs_load = may_load && (is_cold || below_min || scale_up_due);
        let base = entry.base;
        if is_saturated {
            self.saturated.insert(key);
        } else {
            self.saturated.remove(&key);
        }
        self.set_waiting(key, needs_load);
        if let Some(base) = base {
            self.update_base(base, key, needs_load, now);
        }
    }

    /// Lists the artifacts that have been saturated for long enough to need another replica, and
    /// that do not wait for one yet.
    pub(super) fn scale_up_due(&self, now: time::Instant) -> Vec<ArtifactKey> {
        let after = self.settings.scale_up_after;
        let is_due = |key: &&ArtifactKey| {
            let entry = self.catalog.get(**key);
            let since = entry.and_then(|entry| entry.saturated_since);
            since.is_some_and(|since| now.saturating_duration_since(since) >= after)
        };
        let due = self.saturated.iter().filter(is_due);
        due.filter(|key| !self.waiting.contains(key))
            .copied()
            .collect()
    }

    /// Ends the keep-alive time of a replica that has running requests or is no longer loaded.
    pub(super) fn stop_keep_alive(&mut self, id: placement::ReservationId) {
        let Some(entry) = self.reservations.get_mut(id) else {
            return;
        };
        let since = entry.idle_since.take();
        let deadline = entry.keep_alive_until.take();
        self.idle.remove(id, since, deadline);
    }

    /// Starts the keep-alive time of a replica, if it is loaded and idle.
    pub(super) fn start_keep_alive<K: policy::KeepAlive>(
        &mut self,
        id: placement::ReservationId,
        keep_alive: &K,
        now: time::Instant,
    ) {
        self.stop_keep_alive(id);
        let Some(entry) = self.reservations.get(id) else {
            return;
        };
        if !entry.is_in(placement::ReservationState::Loaded) || entry.in_flight > 0 {
            return;
        }
        let Some(artifact) = self.catalog.get(entry.artifact) else {
            return;
        };
        let replica = policy::IdleReplica {
            history: &artifact.history,
            idle: time::Duration::ZERO,
            reload: self.reload_time(entry.artifact),
            bytes: entry.reservation.bytes,
        };
        let deadline = keep_alive.keep_alive_time(&replica).map(|keep| now + keep);
        if let Some(entry) = self.reservations.get_mut(id) {
            entry.idle_since = Some(now);
            entry.keep_alive_until = deadline;
        }
        self.idle.insert(id, now, deadline);
    }

    /// Returns the expected load time of an artifact on a server that is closest to its checkpoint.
    pub(super) fn reload_time(&self, key: ArtifactKey) -> time::Duration {
        let Some(entry) = self.catalog.get(key) else {
            return time::Duration::ZERO;
        };
        let tier = if entry.base.is_some() {
            server::CheckpointTier::Memory
        } else {
            let near = self.servers.with_checkpoint(&entry.artifact).next();
            near.map_or(server::CheckpointTier::Remote, |_| {
                server::CheckpointTier::Disk
            })
        };
        self.load_time.estimate(tier, entry.bytes)
    }

    /// Ends a load's charge to the store budget.
    pub(super) fn end_charge(&mut self, charge: StoreCharge) {
        match charge {
            StoreCharge::None => {}
            StoreCharge::Model => self.budget.end_model_load(),
            StoreCharge::Adapter => self.budget.end_adapter_load(),
        }
        self.plan_due = true;
    }

    /// Sets the state of a reservation's latest order.
    pub(super) fn set_order(&mut self, id: placement::ReservationId, order: OrderState) {
        let Some(entry) = self.reservations.get_mut(id) else {
            return;
        };
        entry.order = order;
        let server = entry.server;
        if order.is_settled() {
            self.reservations.unsettled.remove(&id);
        } else {
            self.reservations.unsettled.insert(id);
        }
        let settled = order.is_settled();
        self.servers.update(server, |server| {
            if !settled {
                server.unsettled_order = Some(id);
            } else if server.unsettled_order == Some(id) {
                server.unsettled_order = None;
            }
        });
        self.plan_due |= settled;
    }

    /// Requests a commit that changes a reservation, unless one is pending.
    pub(super) fn request_commit(
        &mut self,
        id: placement::ReservationId,
        effect: engine::PlacementEffect,
    ) {
        let Some(entry) = self.reservations.get_mut(id) else {
            return;
        };
        if entry.commit_pending {
            return;
        }
        entry.commit_pending = true;
        self.effects.push(effect);
    }

    /// Requests the drain of a loaded replica.
    pub(super) fn request_drain(&mut self, id: placement::ReservationId) {
        self.stop_keep_alive(id);
        self.request_commit(id, engine::PlacementEffect::Drain { id });
    }

    /// Requests the release of a reservation whose replica is not in memory.
    pub(super) fn request_release(&mut self, id: placement::ReservationId) {
        self.request_commit(id, engine::PlacementEffect::Release { id });
    }

    fn can_serve(&self, key: ServerKey, now: time::Instant) -> bool {
        let lost = self.settings.server_lost_after;
        let server = self.servers.get(key);
        server.is_some_and(|server| {
            let silent = server.announced.is_some() && !server.was_seen_within(lost, now);
            !silent && !server.is_leaving()
        })
    }

    fn count_replicas(
        &self,
        key: ArtifactKey,
        counts: impl Fn(&Self, &engine::reservation_entry::ReservationEntry) -> bool,
    ) -> u32 {
        let replicas = self
            .catalog
            .get(key)
            .map_or(&[][..], |entry| &entry.replicas);
        let counted = replicas
            .iter()
            .filter_map(|id| self.reservations.get(*id))
            .filter(|entry| counts(self, entry))
            .count();
        u32::try_from(counted).unwrap_or(u32::MAX)
    }

    fn set_waiting(&mut self, key: ArtifactKey, needs_load: bool) {
        if needs_load {
            self.plan_due |= self.waiting.insert(key);
            return;
        }
        self.waiting.remove(&key);
        let eviction_server = self
            .catalog
            .get_mut(key)
            .and_then(|entry| entry.eviction_server.take());
        if let Some(server) = eviction_server {
            self.servers.update(server, |server| {
                if server.claimed_by == Some(key) {
                    server.claimed_by = None;
                }
            });
        }
    }

    /// Records at a base model whether an adapter waits for a replica of it.
    fn update_base(
        &mut self,
        base: ArtifactKey,
        adapter: ArtifactKey,
        needs_load: bool,
        now: time::Instant,
    ) {
        let Some(entry) = self.catalog.get_mut(base) else {
            return;
        };
        let changed = if needs_load {
            entry.waiting_adapters.insert(adapter)
        } else {
            entry.waiting_adapters.remove(&adapter)
        };
        if changed {
            self.refresh(base, now);
        }
    }
}
