//! Follows the announcements of backend servers.

use std::time;

use galenahold_domain::{placement, server};

use crate::engine;
use crate::engine::order_state::OrderState;
use crate::engine::placement_state::PlacementState;
use crate::engine::server_entry::AnnouncedServer;
use crate::engine::server_key::ServerKey;

const RELEASED_MEMORY: time::Duration = time::Duration::from_secs(10);

/// Follows an announcement that is `age` old.
pub(super) fn follow(
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
    if !is_news(state, key, announcement) {
        return;
    }
    let seen_at = now.checked_sub(age).unwrap_or(now);
    let entry = state.servers.get(key);
    let announced = entry.and_then(|entry| entry.announced.as_ref());
    let (seen_before, left_before) = (
        announced.map(|announced| announced.seen_at),
        announced.is_some_and(|announced| announced.leaving),
    );
    update_entry(state, key, announcement, seen_at);
    state.servers.set_cached(key, &announcement.cached);
    let watched = state.servers.watch(key, seen_before, seen_at);
    if !watched || left_before != announcement.leaving {
        refresh_replicas(state, key, now);
    }
    if !state.is_active(now) {
        note_shown(state, key, announcement, now);
        return;
    }
    compare(state, key, announcement, seen_at, now);
}

/// Looks again at the artifacts of servers that fell silent.
pub(super) fn expire(state: &mut PlacementState, now: time::Instant) {
    let Some(limit) = now.checked_sub(state.settings.server_lost) else {
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
        .filter_map(|id| state.book.get(*id));
    let artifacts: Vec<_> = replicas.map(|entry| entry.artifact).collect();
    for artifact in artifacts {
        state.refresh(artifact, now);
    }
}

/// Compares the reservations of a server with what it shows loaded.
pub(super) fn compare(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    seen_at: time::Instant,
    now: time::Instant,
) {
    retire_earlier(state, key);
    note_shown(state, key, announcement, now);
    adopt_unknown(state, key, announcement, now);
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let incarnation = server.incarnation;
    for id in server.reservations.clone() {
        let Some(entry) = state.book.get(id) else {
            continue;
        };
        if entry.reservation.incarnation != incarnation {
            continue;
        }
        // The answer of an order under way settles it, so that the server gets no second one.
        if matches!(entry.order, OrderState::Sent { .. }) {
            continue;
        }
        match shown_replica(state, id, announcement) {
            Some(loaded) => follow_shown(state, id, loaded.state),
            None => follow_absent(state, id, announcement.sequence, seen_at),
        }
    }
}

fn is_news(
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
    state.servers.alter(key, |server| {
        let restarted = announcement.incarnation > server.incarnation;
        if restarted {
            server.incarnation = announcement.incarnation;
            server.reserved = galenahold_domain::amount::ByteCount::ZERO;
            server.unresolved = None;
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
            busy: load.running.saturating_add(load.queued),
            cached: before.map(|before| before.cached).unwrap_or_default(),
        });
    });
}

/// Asks to release the reservations of earlier incarnations.
fn retire_earlier(state: &mut PlacementState, key: ServerKey) {
    let Some(server) = state.servers.get(key) else {
        return;
    };
    let incarnation = server.incarnation;
    let has_earlier = server.reservations.iter().any(|id| {
        let entry = state.book.get(*id);
        entry.is_some_and(|entry| entry.reservation.incarnation < incarnation)
    });
    if !has_earlier || server.retiring {
        return;
    }
    let server = server.name.clone();
    state.servers.alter(key, |server| server.retiring = true);
    state.effects.push(engine::PlacementEffect::Retire {
        server,
        incarnation,
    });
}

/// Notes in which announcement each replica was shown last.
fn note_shown(
    state: &mut PlacementState,
    key: ServerKey,
    announcement: &server::ServerAnnouncement,
    now: time::Instant,
) {
    for loaded in &announcement.loaded {
        let artifact = artifact_of(loaded);
        let artifact = state.catalog.key_or_insert(&artifact, loaded.bytes, now);
        let id = state.reservation_at(key, artifact);
        if let Some(entry) = id.and_then(|id| state.book.get_mut(id)) {
            entry.shown_in = Some(announcement.sequence);
        }
    }
}

/// Asks to count replicas that nobody decided.
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

/// Returns whether a replica without a reservation is explained: a commit is under way, or a late
/// announcement shows what has been released.
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
                && now.saturating_duration_since(released.at) < RELEASED_MEMORY
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
    let decided = state.decided_replicas(artifact, now);
    let allowed = state
        .catalog
        .get(artifact)
        .is_some_and(|entry| entry.wanted && decided + entry.proposed < entry.max_replicas);
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
        .alter(key, |server| server.adopting.push(artifact));
}

fn shown_replica<'a>(
    state: &PlacementState,
    id: placement::ReservationId,
    announcement: &'a server::ServerAnnouncement,
) -> Option<&'a server::LoadedReplica> {
    let artifact = &state.book.get(id)?.reservation.artifact;
    announcement.loaded.iter().find(|loaded| {
        loaded.model == artifact.model
            && loaded.version == artifact.version
            && loaded.adapter == artifact.adapter
    })
}

fn follow_shown(
    state: &mut PlacementState,
    id: placement::ReservationId,
    shown: server::ReplicaState,
) {
    let Some(entry) = state.book.get(id) else {
        return;
    };
    let ordered = entry.is_in(placement::ReservationState::Ordered);
    if ordered && shown == server::ReplicaState::Ready {
        state.ask_commit(id, engine::PlacementEffect::MarkLoaded { id });
    }
}

/// Releases a replica that an announcement shows gone: one that is newer than the last that showed
/// it, or than the answer that it is loaded.
fn follow_absent(
    state: &mut PlacementState,
    id: placement::ReservationId,
    sequence: u64,
    seen_at: time::Instant,
) {
    let Some(entry) = state.book.get(id) else {
        return;
    };
    let margin = state.settings.observation_margin;
    let gone = match (entry.reservation.state, entry.order) {
        (placement::ReservationState::Ordered, OrderState::Doubtful { since }) => {
            seen_at > since + margin
        }
        (placement::ReservationState::Ordered, _) => false,
        _ => match entry.shown_in {
            Some(shown_in) => sequence > shown_in,
            None => seen_at > entry.state_since + margin,
        },
    };
    if gone {
        state.ask_release(id);
    }
}

fn artifact_of(loaded: &server::LoadedReplica) -> placement::ReplicaArtifact {
    placement::ReplicaArtifact {
        model: loaded.model.clone(),
        version: loaded.version.clone(),
        adapter: loaded.adapter.clone(),
    }
}
