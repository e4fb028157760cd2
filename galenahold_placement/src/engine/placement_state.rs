//! What the engine knows, with the indexes that its decisions need.

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
use crate::engine::reservation_book::ReservationBook;
use crate::engine::server_inventory::ServerInventory;
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;
use crate::engine::team_loads::TeamLoads;
use crate::policy;

/// What the engine knows, with the indexes that its decisions need.
#[derive(Debug)]
pub(super) struct PlacementState {
    pub(super) settings: engine::EngineSettings,
    pub(super) active_from: time::Instant,
    pub(super) catalog: ArtifactCatalog,
    pub(super) servers: ServerInventory,
    pub(super) book: ReservationBook,
    pub(super) budget: budget::StoreBudget,
    pub(super) load_time: budget::LoadTime,
    pub(super) idle: IdleIndex,
    pub(super) instances: collections::BTreeMap<name::InstanceName, InstanceEntry>,
    /// For each instance, the first incarnation that may be alive.
    pub(super) alive_from: collections::BTreeMap<name::InstanceName, amount::IncarnationNumber>,
    pub(super) team_loads: TeamLoads,
    /// Artifacts that want a load.
    pub(super) waiting: collections::BTreeSet<ArtifactKey>,
    /// Artifacts whose requests wait although a replica is loaded.
    pub(super) pressed: collections::BTreeSet<ArtifactKey>,
    /// Whether something changed that may let a waiting load start.
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
            book: ReservationBook::default(),
            budget: budget::StoreBudget::new(intent::StoreLimits::default()),
            load_time: budget::LoadTime::default(),
            idle: IdleIndex::default(),
            instances: collections::BTreeMap::new(),
            alive_from: collections::BTreeMap::new(),
            team_loads: TeamLoads::default(),
            waiting: collections::BTreeSet::new(),
            pressed: collections::BTreeSet::new(),
            plan_due: false,
            effects: Vec::new(),
        }
    }

    /// Returns whether a new leader's wait is over.
    pub(super) fn is_active(&self, now: time::Instant) -> bool {
        now >= self.active_from
    }

    /// Counts the replicas that serve or are being loaded, on servers that may get work.
    pub(super) fn serving_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        self.count_replicas(key, |state, entry| {
            entry.serves() && state.may_get_work(entry.server, now)
        })
    }

    /// Counts the replicas that may be in memory, on servers that are not lost.
    pub(super) fn decided_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        let lost = self.settings.server_lost;
        self.count_replicas(key, |state, entry| {
            let server = state.servers.get(entry.server);
            server.is_some_and(|server| {
                server.announced.is_none() || server.is_seen_within(lost, now)
            })
        })
    }

    /// Counts the replicas that are being loaded.
    pub(super) fn loading_replicas(&self, key: ArtifactKey, now: time::Instant) -> u32 {
        self.count_replicas(key, |state, entry| {
            entry.is_in(placement::ReservationState::Ordered)
                && state.may_get_work(entry.server, now)
        })
    }

    /// Finds a server's reservation of an artifact.
    pub(super) fn reservation_at(
        &self,
        server: ServerKey,
        artifact: ArtifactKey,
    ) -> Option<placement::ReservationId> {
        let server = self.servers.get(server)?;
        server.reservations.iter().copied().find(|id| {
            self.book.get(*id).is_some_and(|entry| {
                entry.artifact == artifact && entry.reservation.incarnation == server.incarnation
            })
        })
    }

    /// Decides anew whether an artifact wants a load.
    pub(super) fn refresh(&mut self, key: ArtifactKey, now: time::Instant) {
        let serving = self.serving_replicas(key, now);
        let decided = self.decided_replicas(key, now);
        let loading = self.loading_replicas(key, now);
        let scale_up_after = self.settings.scale_up_after;
        let Some(entry) = self.catalog.get_mut(key) else {
            self.waiting.remove(&key);
            self.pressed.remove(&key);
            return;
        };
        let coming = serving + entry.proposed;
        let waits = entry.demand.waiting() > 0;
        let is_pressed = waits && serving > 0 && loading + entry.proposed == 0;
        entry.pressed_since = is_pressed.then(|| entry.pressed_since.unwrap_or(now));
        let long_pressed = entry
            .pressed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= scale_up_after);
        let is_cold = coming == 0 && (waits || !entry.waiting_adapters.is_empty());
        let below_least = coming < entry.min_replicas;
        let may_load = entry.wanted && decided + entry.proposed < entry.max_replicas;
        let wants_load = may_load && (is_cold || below_least || long_pressed);
        let base = entry.base;
        if is_pressed {
            self.pressed.insert(key);
        } else {
            self.pressed.remove(&key);
        }
        self.set_waiting(key, wants_load);
        if let Some(base) = base {
            self.tell_base(base, key, wants_load, now);
        }
    }

    /// Lists the artifacts that are pressed for so long that they want a further replica, and do not
    /// wait for one yet.
    pub(super) fn long_pressed(&self, now: time::Instant) -> Vec<ArtifactKey> {
        let after = self.settings.scale_up_after;
        let is_due = |key: &&ArtifactKey| {
            let entry = self.catalog.get(**key);
            let since = entry.and_then(|entry| entry.pressed_since);
            since.is_some_and(|since| now.saturating_duration_since(since) >= after)
        };
        let due = self.pressed.iter().filter(is_due);
        due.filter(|key| !self.waiting.contains(key))
            .copied()
            .collect()
    }

    /// Stops keeping a replica by its idle time: it has work, or is no longer loaded.
    pub(super) fn disarm_idle(&mut self, id: placement::ReservationId) {
        let Some(entry) = self.book.get_mut(id) else {
            return;
        };
        let since = entry.idle_since.take();
        let end = entry.keep_until.take();
        self.idle.remove(id, since, end);
    }

    /// Starts to keep a replica without work.
    pub(super) fn arm_idle<K: policy::KeepAlive>(
        &mut self,
        id: placement::ReservationId,
        keep_alive: &K,
        now: time::Instant,
    ) {
        self.disarm_idle(id);
        let Some(entry) = self.book.get(id) else {
            return;
        };
        if !entry.is_in(placement::ReservationState::Loaded) || entry.in_flight > 0 {
            return;
        }
        let Some(artifact) = self.catalog.get(entry.artifact) else {
            return;
        };
        let kept = policy::IdleReplica {
            history: &artifact.history,
            idle: time::Duration::ZERO,
            reload: self.reload_time(entry.artifact),
            bytes: entry.reservation.bytes,
        };
        let end = keep_alive.keep_for(&kept).map(|keep| now + keep);
        if let Some(entry) = self.book.get_mut(id) {
            entry.idle_since = Some(now);
            entry.keep_until = end;
        }
        self.idle.insert(id, now, end);
    }

    /// Returns how long a load of an artifact should take where its checkpoint is nearest.
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

    /// Ends what a load counts against in the weight store's budget.
    pub(super) fn end_charge(&mut self, charge: StoreCharge) {
        match charge {
            StoreCharge::None => {}
            StoreCharge::Model => self.budget.end_model(),
            StoreCharge::Adapter => self.budget.end_adapter(),
        }
        self.plan_due = true;
    }

    /// Sets what is known of a reservation's latest order.
    pub(super) fn set_order(&mut self, id: placement::ReservationId, order: OrderState) {
        let Some(entry) = self.book.get_mut(id) else {
            return;
        };
        entry.order = order;
        let server = entry.server;
        if order.is_settled() {
            self.book.unsettled.remove(&id);
        } else {
            self.book.unsettled.insert(id);
        }
        let settled = order.is_settled();
        self.servers.alter(server, |server| {
            if !settled {
                server.unresolved = Some(id);
            } else if server.unresolved == Some(id) {
                server.unresolved = None;
            }
        });
        self.plan_due |= settled;
    }

    /// Asks for a commit that changes a reservation, unless one is under way.
    pub(super) fn ask_commit(
        &mut self,
        id: placement::ReservationId,
        effect: engine::PlacementEffect,
    ) {
        let Some(entry) = self.book.get_mut(id) else {
            return;
        };
        if entry.commit_pending {
            return;
        }
        entry.commit_pending = true;
        self.effects.push(effect);
    }

    /// Asks to drain a loaded replica.
    pub(super) fn ask_drain(&mut self, id: placement::ReservationId) {
        self.disarm_idle(id);
        self.ask_commit(id, engine::PlacementEffect::Drain { id });
    }

    /// Asks to release a reservation whose replica is gone.
    pub(super) fn ask_release(&mut self, id: placement::ReservationId) {
        self.ask_commit(id, engine::PlacementEffect::Release { id });
    }

    fn may_get_work(&self, key: ServerKey, now: time::Instant) -> bool {
        let lost = self.settings.server_lost;
        let server = self.servers.get(key);
        server.is_some_and(|server| {
            let silent = server.announced.is_some() && !server.is_seen_within(lost, now);
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
            .filter_map(|id| self.book.get(*id))
            .filter(|entry| counts(self, entry))
            .count();
        u32::try_from(counted).unwrap_or(u32::MAX)
    }

    fn set_waiting(&mut self, key: ArtifactKey, wants_load: bool) {
        if wants_load {
            self.plan_due |= self.waiting.insert(key);
            return;
        }
        self.waiting.remove(&key);
        let room_at = self
            .catalog
            .get_mut(key)
            .and_then(|entry| entry.room_at.take());
        if let Some(server) = room_at {
            self.servers.alter(server, |server| {
                if server.claimed_by == Some(key) {
                    server.claimed_by = None;
                }
            });
        }
    }

    /// Tells a base model whether an adapter waits for a replica of it.
    fn tell_base(
        &mut self,
        base: ArtifactKey,
        adapter: ArtifactKey,
        wants_load: bool,
        now: time::Instant,
    ) {
        let Some(entry) = self.catalog.get_mut(base) else {
            return;
        };
        let changed = if wants_load {
            entry.waiting_adapters.insert(adapter)
        } else {
            entry.waiting_adapters.remove(&adapter)
        };
        if changed {
            self.refresh(base, now);
        }
    }
}
