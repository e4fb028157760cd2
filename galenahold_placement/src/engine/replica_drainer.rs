//! Drains and unloads replicas that are expired, not in the intent or surplus.

use std::time;

use galenahold_domain::placement;

use crate::engine;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::placement_state::PlacementState;
use crate::engine::reservation_entry::ReservationEntry;
use crate::engine::server_key::ServerKey;
use crate::policy;

/// Drains replicas whose keep-alive time is over.
pub(super) fn drain_idle<K: policy::KeepAlive>(
    state: &mut PlacementState,
    keep_alive: &K,
    now: time::Instant,
) {
    while let Some(id) = state.idle.pop_expired(now) {
        if let Some(entry) = state.reservations.get_mut(id) {
            entry.keep_alive_until = None;
        }
        if may_drain(state, id, now) {
            drain(state, id);
        } else {
            state.start_keep_alive(id, keep_alive, now);
        }
    }
}

/// Drains the replicas of an artifact that the intent does not contain, or that exceed its maximum.
///
/// An old version is drained once a replica of the new version is loaded, or once no request needs
/// the old one.
pub(super) fn drain_surplus(state: &mut PlacementState, key: ArtifactKey, now: time::Instant) {
    let Some(entry) = state.catalog.get(key) else {
        return;
    };
    let in_intent = entry.in_intent;
    let max_replicas = if in_intent { entry.max_replicas } else { 0 };
    if !in_intent && is_still_needed(state, key, now) {
        return;
    }
    let Some(entry) = state.catalog.get(key) else {
        return;
    };
    let loaded: Vec<_> = entry
        .replicas
        .iter()
        .copied()
        .filter(|id| {
            let entry = state.reservations.get(*id);
            entry.is_some_and(|entry| entry.is_in(placement::ReservationState::Loaded))
        })
        .collect();
    let surplus = loaded.len().saturating_sub(max_replicas as usize);
    for id in loaded.into_iter().rev().take(surplus) {
        drain(state, id);
    }
}

/// Unloads drained replicas.
///
/// A replica is drained once no request is running, according to reports that all instances made
/// after they learned of the drain, and once its server holds no adapter of it.
pub(super) fn unload_drained(state: &mut PlacementState, now: time::Instant) {
    let reports = state.instances.values().map(|entry| entry.reported_at);
    let oldest_report = reports.min().unwrap_or(now);
    let notice = state.settings.drain_notice;
    let draining: Vec<_> = state.reservations.draining.iter().copied().collect();
    for id in draining {
        let Some(entry) = state.reservations.get(id) else {
            continue;
        };
        let propagated_at = entry.state_since + notice;
        let drained =
            now >= propagated_at && oldest_report >= propagated_at && entry.in_flight == 0;
        if drained && !has_adapters(state, entry) {
            request_unload(state, id, entry.server);
        }
    }
}

/// Requests the unload of a replica, unless another order of the server is not settled.
fn request_unload(state: &mut PlacementState, id: placement::ReservationId, server: ServerKey) {
    let is_free = state
        .servers
        .get(server)
        .is_some_and(|server| server.unsettled_order.is_none() && server.proposal.is_none());
    if !is_free {
        return;
    }
    state
        .servers
        .update(server, |server| server.unsettled_order = Some(id));
    state.request_commit(id, engine::PlacementEffect::Unload { id });
}

/// Drains a replica, and the adapters on the same server that are based on it.
pub(super) fn drain(state: &mut PlacementState, id: placement::ReservationId) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    for adapter in adapters_on_base_replica(state, entry.server, entry.artifact) {
        state.request_drain(adapter);
    }
    state.request_drain(id);
}

fn may_drain(state: &PlacementState, id: placement::ReservationId, now: time::Instant) -> bool {
    let Some(entry) = state.reservations.get(id) else {
        return false;
    };
    let Some(artifact) = state.catalog.get(entry.artifact) else {
        return false;
    };
    let serving = state.serving_replicas(entry.artifact, now);
    let spare = serving > artifact.min_replicas || !artifact.in_intent;
    let adapters_idle = adapters_on_base_replica(state, entry.server, entry.artifact)
        .iter()
        .all(|id| {
            state
                .reservations
                .get(*id)
                .is_some_and(|entry| entry.in_flight == 0)
        });
    let has_waiting = artifact.demand.waiting() > 0;
    entry.in_flight == 0 && !has_waiting && spare && adapters_idle
}

fn is_still_needed(state: &PlacementState, key: ArtifactKey, now: time::Instant) -> bool {
    let Some(entry) = state.catalog.get(key) else {
        return false;
    };
    let used = entry.demand.waiting() > 0 || entry.in_flight > 0;
    used && !has_loaded_successor(state, key, now)
}

/// Returns whether another version of the same model or adapter is in the intent and loaded.
fn has_loaded_successor(state: &PlacementState, key: ArtifactKey, now: time::Instant) -> bool {
    let Some(entry) = state.catalog.get(key) else {
        return false;
    };
    state.catalog.versions_of(&entry.artifact).any(|other| {
        let in_intent = state
            .catalog
            .get(other)
            .is_some_and(|entry| entry.in_intent);
        let loaded = state.serving_replicas(other, now) > state.loading_replicas(other, now);
        other != key && in_intent && loaded
    })
}

fn has_adapters(state: &PlacementState, entry: &ReservationEntry) -> bool {
    !adapters_on_base_replica(state, entry.server, entry.artifact).is_empty()
}

fn adapters_on_base_replica(
    state: &PlacementState,
    server: ServerKey,
    base: ArtifactKey,
) -> Vec<placement::ReservationId> {
    let reservations = state
        .servers
        .get(server)
        .map_or(&[][..], |server| &server.reservations);
    let adapters = reservations.iter().copied().filter(|id| {
        let entry = state
            .reservations
            .get(*id)
            .and_then(|entry| state.catalog.get(entry.artifact));
        entry.is_some_and(|entry| entry.base == Some(base))
    });
    adapters.collect()
}
