//! Evicts replicas to make memory available for waiting artifacts.

use std::time;

use galenahold_domain::{amount, placement};

use crate::engine::artifact_key::ArtifactKey;
use crate::engine::load_planner;
use crate::engine::placement_state::PlacementState;
use crate::engine::replica_drainer;
use crate::engine::reservation_entry::ReservationEntry;
use crate::engine::server_key::ServerKey;
use crate::policy;

/// Maximum number of idle replicas that are examined in the search for candidate servers.
const MAX_IDLE_REPLICAS: usize = 64;
/// Maximum number of candidate servers for an eviction.
const MAX_SERVERS: usize = 16;

/// Replicas to evict from one server.
#[derive(Debug)]
struct EvictionPlan {
    server: ServerKey,
    victims: Vec<placement::ReservationId>,
    retention_value: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankedVictim {
    retention_value: f64,
    id: placement::ReservationId,
    bytes: amount::ByteCount,
}

/// Evicts the replicas with the lowest retention value so that an artifact fits on a server.
///
/// Idle replicas are evicted first; replicas with running requests only if the artifact has waited
/// for too long. The server stays claimed by the artifact until the artifact is loaded or no longer
/// needed, so that no other artifact takes the freed memory.
pub(super) fn plan_eviction<K: policy::KeepAlive>(
    state: &mut PlacementState,
    key: ArtifactKey,
    keep_alive: &K,
    now: time::Instant,
) {
    if is_eviction_pending(state, key) {
        return;
    }
    let servers = eviction_candidates(state, key);
    let plan = cheapest_plan(state, &servers, key, keep_alive, false, now);
    let plan = plan.or_else(|| {
        let starves = is_starving(state, key, now);
        let busy_servers = load_planner::servers_for(state, key);
        let all = [servers, busy_servers].concat();
        starves
            .then(|| cheapest_plan(state, &all, key, keep_alive, true, now))
            .flatten()
    });
    let Some(plan) = plan else {
        return;
    };
    state
        .servers
        .update(plan.server, |server| server.claimed_by = Some(key));
    if let Some(entry) = state.catalog.get_mut(key) {
        entry.eviction_server = Some(plan.server);
    }
    for id in plan.victims {
        replica_drainer::drain(state, id);
    }
}

/// Returns whether an eviction for the artifact is in progress; if not, drops the artifact's claim
/// on the server.
fn is_eviction_pending(state: &mut PlacementState, key: ArtifactKey) -> bool {
    let Some(server) = state
        .catalog
        .get(key)
        .and_then(|entry| entry.eviction_server)
    else {
        return false;
    };
    let pending = state.servers.get(server).is_some_and(|entry| {
        let mut replicas = entry
            .reservations
            .iter()
            .filter_map(|id| state.reservations.get(*id));
        !entry.is_leaving() && replicas.any(is_being_removed)
    });
    if pending {
        return true;
    }
    if let Some(entry) = state.catalog.get_mut(key) {
        entry.eviction_server = None;
    }
    state.servers.update(server, |entry| {
        if entry.claimed_by == Some(key) {
            entry.claimed_by = None;
        }
    });
    false
}

fn is_being_removed(entry: &ReservationEntry) -> bool {
    let drains = entry.is_in(placement::ReservationState::Draining)
        || entry.is_in(placement::ReservationState::Unloading);
    drains || (entry.commit_pending && entry.is_in(placement::ReservationState::Loaded))
}

fn eviction_candidates(state: &PlacementState, key: ArtifactKey) -> Vec<ServerKey> {
    let is_adapter = state
        .catalog
        .get(key)
        .is_some_and(|entry| entry.base.is_some());
    if is_adapter {
        return load_planner::servers_for(state, key);
    }
    let mut servers = Vec::new();
    let Some(entry) = state.catalog.get(key) else {
        return servers;
    };
    let near = state
        .servers
        .with_checkpoint(&entry.artifact)
        .take(MAX_SERVERS);
    servers.extend(near);
    for id in state.idle.longest_idle().take(MAX_IDLE_REPLICAS) {
        let server = state.reservations.get(id).map(|entry| entry.server);
        let new = server.filter(|server| !servers.contains(server));
        servers.extend(new);
        if servers.len() >= MAX_SERVERS {
            break;
        }
    }
    servers
}

fn is_starving(state: &PlacementState, key: ArtifactKey, now: time::Instant) -> bool {
    let Some(entry) = state.catalog.get(key) else {
        return false;
    };
    let adapters = entry.waiting_adapters.iter();
    let oldest = std::iter::once(&key)
        .chain(adapters)
        .filter_map(|key| state.catalog.get(*key)?.demand.oldest_since())
        .min();
    oldest.is_some_and(|at| now.saturating_duration_since(at) >= state.settings.starving_after)
}

fn cheapest_plan<K: policy::KeepAlive>(
    state: &PlacementState,
    servers: &[ServerKey],
    key: ArtifactKey,
    keep_alive: &K,
    allow_busy: bool,
    now: time::Instant,
) -> Option<EvictionPlan> {
    servers
        .iter()
        .filter(|server| load_planner::accepts_load(state, **server, key, now))
        .filter_map(|server| eviction_plan_on(state, *server, key, keep_alive, allow_busy, now))
        .min_by(|left, right| left.retention_value.total_cmp(&right.retention_value))
}

/// Selects the replicas with the lowest retention value until the artifact fits.
fn eviction_plan_on<K: policy::KeepAlive>(
    state: &PlacementState,
    server: ServerKey,
    key: ArtifactKey,
    keep_alive: &K,
    allow_busy: bool,
    now: time::Instant,
) -> Option<EvictionPlan> {
    let needed = state.catalog.get(key)?.bytes;
    let entry = state.servers.get(server)?;
    let base = state.catalog.get(key)?.base;
    let mut victims: Vec<_> = entry
        .reservations
        .iter()
        .filter_map(|id| state.reservations.get(*id))
        .filter(|victim| Some(victim.artifact) != base)
        .filter(|victim| is_evictable(state, victim, allow_busy, now))
        .map(|victim| RankedVictim {
            retention_value: retention_value_of(state, victim, keep_alive, now),
            id: victim.reservation.id,
            bytes: victim.reservation.bytes,
        })
        .collect();
    victims.sort_unstable_by(|left, right| left.retention_value.total_cmp(&right.retention_value));
    let mut plan = EvictionPlan {
        server,
        victims: Vec::new(),
        retention_value: 0.0,
    };
    let mut free = entry.free();
    for victim in victims {
        if free >= needed {
            break;
        }
        free = free.saturating_add(victim.bytes);
        plan.retention_value += victim.retention_value;
        plan.victims.push(victim.id);
    }
    (free >= needed).then_some(plan)
}

/// Returns whether a replica may be drained for another artifact.
///
/// A base model is evictable only if none of its adapters on the same server has running requests;
/// the adapters are drained first.
fn is_evictable(
    state: &PlacementState,
    victim: &ReservationEntry,
    allow_busy: bool,
    now: time::Instant,
) -> bool {
    let Some(artifact) = state.catalog.get(victim.artifact) else {
        return false;
    };
    let loaded = victim.is_in(placement::ReservationState::Loaded) && !victim.commit_pending;
    let serving = state.serving_replicas(victim.artifact, now);
    let spare = serving > artifact.min_replicas || !artifact.in_intent;
    let resident = now.saturating_duration_since(victim.state_since);
    let free_of_work = victim.in_flight == 0 && artifact.demand.waiting() == 0;
    let may_interrupt = allow_busy && resident >= state.settings.min_residency;
    loaded
        && spare
        && (free_of_work || may_interrupt)
        && adapters_are_evictable(state, victim, allow_busy)
}

fn adapters_are_evictable(
    state: &PlacementState,
    victim: &ReservationEntry,
    allow_busy: bool,
) -> bool {
    let Some(server) = state.servers.get(victim.server) else {
        return false;
    };
    let neighbours = server
        .reservations
        .iter()
        .filter_map(|id| state.reservations.get(*id));
    neighbours
        .filter(|entry| {
            let base = state
                .catalog
                .get(entry.artifact)
                .and_then(|entry| entry.base);
            base == Some(victim.artifact)
        })
        .all(|entry| {
            let loaded = entry.is_in(placement::ReservationState::Loaded);
            loaded && (allow_busy || entry.in_flight == 0)
        })
}

fn retention_value_of<K: policy::KeepAlive>(
    state: &PlacementState,
    victim: &ReservationEntry,
    keep_alive: &K,
    now: time::Instant,
) -> f64 {
    let Some(artifact) = state.catalog.get(victim.artifact) else {
        return 0.0;
    };
    let since = victim.idle_since.unwrap_or(now);
    let replica = policy::IdleReplica {
        history: &artifact.history,
        idle: now.saturating_duration_since(since),
        reload: state.reload_time(victim.artifact),
        bytes: victim.reservation.bytes,
    };
    keep_alive.retention_value(&replica)
}
