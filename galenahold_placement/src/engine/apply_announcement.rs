//! Applies announcements of backend servers to the placement state.

use std::time;

use galenahold_domain::{placement, server};

use crate::engine;
use crate::engine::order_state::OrderState;
use crate::engine::placement_state::PlacementState;
use crate::engine::server_entry::AnnouncedServer;
use crate::engine::server_key::ServerKey;

/// How long a late announcement may list a released replica before the replica is adopted.
const RELEASED_RETENTION: time::Duration = time::Duration::from_secs(10);

/// Applies an announcement that was made `age` ago.
pub(super) fn apply(
    state: &mut PlacementState,
    announcement: &server::ServerAnnouncement,
    age: time::Duration,
    now: time::Instant,
) {
    if announcement.kind == server::ServerKind::Service {
        return;
    }
    let key = state
        .servers
        .key_or_insert(&announcement.name, announcement.incarnation);
    if !is_newer(state, key, announcement) {
        return;
    }
    let seen_at = now.checked_sub(age).unwrap_or(now);
    let entry = state.servers.get(key);
    let announced = entry.and_then(|entry| entry.announced.as_ref());
    let (previous_seen_at, was_leaving) = (
        announced.map(|announced| announced.seen_at),
        announced.is_some_and(|announced| announced.leaving),
    );
    update_entry(state, key, announcement, seen_at);
    state.servers.set_cached(key, &announcement.cached);
    let watched = state.servers.watch(key, previous_seen_at, seen_at);
    if !watched || was_leaving != announcement.leaving {
        refresh_replicas(state, key, now);
    }
    if !state.is_active(now) {
        record_announced(state, key, announcement, now);
        return;
    }
    reconcile(state, key, announcement, seen_at, now);
}

/// Refreshes the artifacts of servers whose announcements have stopped.
pub(super) fn expire(state: &mut PlacementState, now: time::Instant) {
    let Some(limit) = now.checked_sub(state.settings.server_lost_after) else {
        return;
    };
    while let Some(key) = state.servers.pop_silent(limit) {
        refresh_replicas(state, key, now);
    }
}

fn refresh_replicas(state: &mut PlacementState, key: ServerKey, now: time::Instant) {
    state.plan_due = true;
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let replicas = server
        .reservations
        .iter()
        .filter_map(|id| state.reservations.get(*id));
    let artifacts: Vec<_> = replicas.map(|entry| entry.artifact).collect();
    for artifact in artifacts {
        state.refresh(artifact, now);
    }
}

/// Reconciles the reservations of a server with the replicas that it announces.
pub(super) fn reconcile(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    seen_at: time::Instant,
    now: time::Instant,
) {
    retire_earlier_incarnations(state, key);
    record_announced(state, key, announcement, now);
    adopt_unknown(state, key, announcement, now);
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let incarnation = server.incarnation;
    for id in server.reservations.clone() {
        let Some(entry) = state.reservations.get(id) else {
            continue;
        };
        if entry.reservation.incarnation != incarnation {
            continue;
        }
        // The answer to the order in flight will settle it. Until then the server must not get a
        // second order.
        if matches!(entry.order, OrderState::Sent { .. }) {
            continue;
        }
        match announced_replica(state, id, announcement) {
            Some(loaded) => apply_announced(state, id, loaded.state),
            None => apply_missing(state, id, announcement.sequence, seen_at),
        }
    }
}

fn is_newer(
    state: &PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
) -> bool {
    state.servers.get(key).is_some_and(|server| {
        let newer = announcement.incarnation > server.incarnation;
        let same = announcement.incarnation == server.incarnation;
        let sequence = server
            .announced
            .as_ref()
            .map(|announced| announced.sequence);
        newer || (same && sequence.is_none_or(|last| announcement.sequence > last))
    })
}

fn update_entry(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    seen_at: time::Instant,
) {
    let load = announcement.load;
    state.servers.update(key, |server| {
        let restarted = announcement.incarnation > server.incarnation;
        if restarted {
            server.incarnation = announcement.incarnation;
            server.reserved = galenahold_domain::amount::ByteCount::ZERO;
            server.unsettled_order = None;
            server.claimed_by = None;
            server.adopting.clear();
            server.released.clear();
            server.retiring = false;
        }
        let before = server.announced.take().filter(|_| !restarted);
        let leaving = before.as_ref().is_some_and(|before| before.leaving);
        server.announced = Some(AnnouncedServer {
            sequence: announcement.sequence,
            seen_at,
            capacity: announcement.memory_bytes,
            data_centre: announcement.data_centre.clone(),
            checks_fencing: announcement.checks_fencing,
            leaving: leaving || announcement.leaving,
            active_requests: load.running.saturating_add(load.queued),
            cached: before.map(|before| before.cached).unwrap_or_default(),
        });
    });
}

/// Requests the release of all reservations of earlier incarnations.
fn retire_earlier_incarnations(state: &mut PlacementState, key: ServerKey) {
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let incarnation = server.incarnation;
    let has_earlier = server.reservations.iter().any(|id| {
        let entry = state.reservations.get(*id);
        entry.is_some_and(|entry| entry.reservation.incarnation < incarnation)
    });
    if !has_earlier || server.retiring {
        return;
    }
    let server = server.name.clone();
    state.servers.update(key, |server| server.retiring = true);
    state.effects.push(engine::PlacementEffect::Retire {
        server,
        incarnation,
    });
}

/// Records, for each announced replica, the sequence number of the announcement.
fn record_announced(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    now: time::Instant,
) {
    for loaded in &announcement.loaded {
        let artifact = artifact_of(loaded);
        let artifact = state.catalog.key_or_insert(&artifact, loaded.bytes, now);
        let id = state.reservation_at(key, artifact);
        if let Some(entry) = id.and_then(|id| state.reservations.get_mut(id)) {
            entry.last_announced_in = Some(announcement.sequence);
        }
    }
}

/// Requests reservations for announced replicas that have none.
fn adopt_unknown(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    now: time::Instant,
) {
    for loaded in &announcement.loaded {
        let artifact = artifact_of(loaded);
        let artifact = state.catalog.key_or_insert(&artifact, loaded.bytes, now);
        let known = state.reservation_at(key, artifact).is_some();
        if known || is_expected(state, key, artifact, loaded, now) {
            continue;
        }
        adopt(state, key, artifact, loaded, now);
    }
}

/// Returns whether a replica without a reservation is accounted for: either a commit is pending, or
/// a late announcement still lists a released replica.
fn is_expected(
    state: &PlacementState,
    key: ServerKey,
    artifact: engine::artifact_key::ArtifactKey,
    loaded: &server::LoadedReplica,
    now: time::Instant,
) -> bool {
    state.servers.get(key).is_some_and(|server| {
        let released = server.released.iter().any(|released| {
            released.id.0 == loaded.order
                && now.saturating_duration_since(released.at) < RELEASED_RETENTION
        });
        released || server.adopting.contains(&artifact)
    })
}

fn adopt(
    state: &mut PlacementState,
    key: ServerKey,
    artifact: engine::artifact_key::ArtifactKey,
    loaded: &server::LoadedReplica,
    now: time::Instant,
) {
    let reserved = state.reserved_replicas(artifact, now);
    let allowed = state
        .catalog
        .get(artifact)
        .is_some_and(|entry| entry.in_intent && reserved + entry.proposed < entry.max_replicas);
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let effect = engine::PlacementEffect::Adopt {
        server: server.name.clone(),
        incarnation: server.incarnation,
        artifact: artifact_of(loaded),
        bytes: loaded.bytes,
        alarm: loaded.order != 0 || !allowed,
    };
    state.effects.push(effect);
    state
        .servers
        .update(key, |server| server.adopting.push(artifact));
}

fn announced_replica<'a>(
    state: &PlacementState,
    id: placement::ReservationId,
    announcement: &'a server::ServerAnnouncement,
) -> Option<&'a server::LoadedReplica> {
    let artifact = &state.reservations.get(id)?.reservation.artifact;
    announcement.loaded.iter().find(|loaded| {
        loaded.model == artifact.model
            && loaded.version == artifact.version
            && loaded.adapter == artifact.adapter
    })
}

fn apply_announced(
    state: &mut PlacementState,
    id: placement::ReservationId,
    announced_state: server::ReplicaState,
) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let ordered = entry.is_in(placement::ReservationState::Ordered);
    if ordered && announced_state == server::ReplicaState::Ready {
        state.request_commit(id, engine::PlacementEffect::MarkLoaded { id });
    }
}

/// Releases a replica that is missing from an announcement.
///
/// The announcement has to be newer than the last one that listed the replica. If none listed it,
/// the announcement has to be newer than the commit of the replica's state. For a load whose
/// repeated order was refused, it has to be newer than the refusal.
fn apply_missing(
    state: &mut PlacementState,
    id: placement::ReservationId,
    sequence: u64,
    seen_at: time::Instant,
) {
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let margin = state.settings.observation_margin;
    let is_unloaded = match (entry.reservation.state, entry.order) {
        (placement::ReservationState::Ordered, OrderState::AwaitingObservation { since }) => {
            seen_at > since + margin
        }
        (placement::ReservationState::Ordered, _) => false,
        _ => match entry.last_announced_in {
            Some(last_announced_in) => sequence > last_announced_in,
            None => seen_at > entry.state_since + margin,
        },
    };
    if is_unloaded {
        state.request_release(id);
    }
}

fn artifact_of(loaded: &server::LoadedReplica) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: loaded.model.clone(),
        version: loaded.version.clone(),
        adapter: loaded.adapter.clone(),
    }
}
