//! Applies committed changes of reservations, and refused commits, to the placement state.

use std::collections;
use std::time;

use galenahold_domain::{amount, name, placement, server};

use crate::engine;
use crate::engine::order_state::OrderState;
use crate::engine::placement_state::PlacementState;
use crate::engine::reservation_entry::ReservationEntry;
use crate::engine::server_entry::{LoadProposal, ReleasedOrder};
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;
use crate::policy;

/// Pause before the next load on a server after a refused reserve.
const REFUSAL_BACKOFF: time::Duration = time::Duration::from_secs(1);
/// Maximum number of released orders that are remembered per server.
const MAX_RELEASED_ORDERS: usize = 64;

/// Applies a committed reservation, or a committed change of its state.
pub(super) fn apply<K: policy::KeepAlive>(
    state: &mut PlacementState,
    reservation: &placement::MemoryReservation,
    keep_alive: &K,
    now: time::Instant,
) {
    if state.reservations.get(reservation.id).is_none() {
        insert(state, reservation, now);
    }
    let Some(entry) = state.reservations.get_mut(reservation.id) else {
        return;
    };
    let changed = entry.reservation.state != reservation.state;
    let newly_ordered = entry.reservation.fence < reservation.fence;
    entry.reservation = reservation.clone();
    entry.commit_pending = false;
    if changed {
        entry.state_since = now;
    }
    let artifact = entry.artifact;
    enter_state(state, reservation, newly_ordered, keep_alive, now);
    state.refresh(artifact, now);
}

/// Applies the release of a reservation.
pub(super) fn apply_release(
    state: &mut PlacementState,
    id: placement::ReservationId,
    now: time::Instant,
) {
    state.set_order(id, OrderState::Settled);
    state.stop_keep_alive(id);
    let Some(entry) = state.reservations.remove(id) else {
        return;
    };
    if entry.is_in(placement::ReservationState::Ordered) {
        state.end_charge(entry.charge);
    }
    clear_work(state, &entry, now);
    let bytes = entry.reservation.bytes;
    let incarnation = entry.reservation.incarnation;
    state.servers.update(entry.server, |server| {
        server.reservations.retain(|other| *other != id);
        if server.incarnation == incarnation {
            server.reserved = server.reserved.saturating_sub(bytes);
            server.released.push_back(ReleasedOrder { id, at: now });
        }
        if server.released.len() > MAX_RELEASED_ORDERS {
            server.released.pop_front();
        }
    });
    if let Some(artifact) = state.catalog.get_mut(entry.artifact) {
        artifact.replicas.retain(|other| *other != id);
    }
    state.plan_due = true;
    state.refresh(entry.artifact, now);
}

/// Applies the release of all reservations that belong to earlier incarnations of a server.
pub(super) fn apply_retire(
    state: &mut PlacementState,
    server: &name::ServerName,
    incarnation: amount::IncarnationNumber,
    now: time::Instant,
) {
    let Some(key) = state.servers.key(server) else {
        return;
    };
    let reservations = state
        .servers
        .update(key, |server| {
            server.retiring = false;
            server.reservations.clone()
        })
        .unwrap_or_default();
    for id in reservations {
        let earlier = state
            .reservations
            .get(id)
            .is_some_and(|entry| entry.reservation.incarnation < incarnation);
        if earlier {
            apply_release(state, id, now);
        }
    }
}

/// Applies the refusal of a commit for a reservation.
pub(super) fn apply_refusal(state: &mut PlacementState, id: placement::ReservationId) {
    let Some(entry) = state.reservations.get_mut(id) else {
        return;
    };
    entry.commit_pending = false;
    if entry.order.is_settled() {
        state.set_order(id, OrderState::Settled);
    }
}

/// Applies the refusal of a reserve.
pub(super) fn apply_reserve_refusal(
    state: &mut PlacementState,
    server: &name::ServerName,
    artifact: &placement::ReplicaArtifact,
    now: time::Instant,
) {
    let (Some(server), Some(artifact)) = (state.servers.key(server), state.catalog.key(artifact))
    else {
        return;
    };
    if let Some(proposal) = take_proposal(state, server, artifact) {
        state.end_charge(proposal.charge);
    }
    state.servers.update(server, |server| {
        server.adopting.retain(|other| *other != artifact);
        server.backoff_until = Some(now + REFUSAL_BACKOFF);
    });
    state.refresh(artifact, now);
}

fn insert(
    state: &mut PlacementState,
    reservation: &placement::MemoryReservation,
    now: time::Instant,
) {
    let artifact = state
        .catalog
        .key_or_insert(&reservation.artifact, reservation.bytes, now);
    let server = state
        .servers
        .key_or_insert(&reservation.server, reservation.incarnation);
    let proposal = take_proposal(state, server, artifact);
    let is_ordered = reservation.state == placement::ReservationState::Ordered;
    let inherited = inherited_charge(state, reservation, proposal.is_none() && is_ordered, now);
    let tier = proposal.as_ref().map(|proposal| proposal.tier);
    let charge = proposal.map_or(inherited, |proposal| proposal.charge);
    state.reservations.insert(ReservationEntry {
        reservation: reservation.clone(),
        artifact,
        server,
        order: OrderState::Settled,
        unconfirmed: false,
        commit_pending: false,
        last_announced_in: None,
        state_since: now,
        tier: tier.unwrap_or(server::CheckpointTier::Remote),
        charge,
        work: collections::BTreeMap::new(),
        in_flight: 0,
        idle_since: None,
        keep_alive_until: None,
    });
    state.servers.update(server, |server| {
        if reservation.incarnation > server.incarnation {
            server.incarnation = reservation.incarnation;
            server.reserved = amount::ByteCount::ZERO;
            server.announced = None;
        }
        server.adopting.retain(|other| *other != artifact);
        server.reservations.push(reservation.id);
        if server.incarnation == reservation.incarnation {
            server.reserved = server.reserved.saturating_add(reservation.bytes);
        }
    });
    if let Some(entry) = state.catalog.get_mut(artifact) {
        entry.replicas.push(reservation.id);
    }
    // The default fencing number is the lowest, so the first commit always counts as a new order.
    if let Some(entry) = state.reservations.get_mut(reservation.id) {
        entry.reservation.fence = amount::FencingNumber::default();
    }
}

/// Charges a load that an earlier leader started to the store budget.
fn inherited_charge(
    state: &mut PlacementState,
    reservation: &placement::MemoryReservation,
    counts: bool,
    now: time::Instant,
) -> StoreCharge {
    if !counts {
        return StoreCharge::None;
    }
    if reservation.artifact.adapter.is_some() {
        state.budget.start_adapter_load();
        return StoreCharge::Adapter;
    }
    state.budget.start_model_load(now);
    StoreCharge::Model
}

fn take_proposal(
    state: &mut PlacementState,
    server: ServerKey,
    artifact: engine::artifact_key::ArtifactKey,
) -> Option<LoadProposal> {
    let proposal = state.servers.update(server, |server| {
        let matches = |proposal: &mut LoadProposal| proposal.artifact == artifact;
        server.proposal.take_if(matches)
    })??;
    if let Some(entry) = state.catalog.get_mut(artifact) {
        entry.proposed = entry.proposed.saturating_sub(1);
    }
    Some(proposal)
}

fn enter_state<K: policy::KeepAlive>(
    state: &mut PlacementState,
    reservation: &placement::MemoryReservation,
    newly_ordered: bool,
    keep_alive: &K,
    now: time::Instant,
) {
    let id = reservation.id;
    match reservation.state {
        placement::ReservationState::Ordered if newly_ordered => {
            let effect = engine::PlacementEffect::SendLoad {
                reservation: reservation.clone(),
            };
            send(state, reservation, effect, now);
        }
        placement::ReservationState::Unloading if newly_ordered => {
            state.reservations.draining.remove(&id);
            let effect = engine::PlacementEffect::SendUnload {
                reservation: reservation.clone(),
            };
            send(state, reservation, effect, now);
        }
        placement::ReservationState::Loaded => enter_loaded(state, id, keep_alive, now),
        placement::ReservationState::Draining => {
            state.set_order(id, OrderState::Settled);
            state.stop_keep_alive(id);
            state.reservations.draining.insert(id);
        }
        placement::ReservationState::Ordered | placement::ReservationState::Unloading => {}
    }
}

/// Sends the order if it belongs to this leader; otherwise marks it as inherited.
fn send(
    state: &mut PlacementState,
    reservation: &placement::MemoryReservation,
    effect: engine::PlacementEffect,
    now: time::Instant,
) {
    let sent_here = reservation.sender == state.settings.instance
        && reservation.sender_incarnation == state.settings.incarnation
        && state.is_active(now);
    if sent_here {
        state.set_order(reservation.id, OrderState::Sent { at: now });
        state.effects.push(effect);
        return;
    }
    state.set_order(reservation.id, OrderState::Inherited);
}

fn enter_loaded<K: policy::KeepAlive>(
    state: &mut PlacementState,
    id: placement::ReservationId,
    keep_alive: &K,
    now: time::Instant,
) {
    state.set_order(id, OrderState::Settled);
    if let Some(entry) = state.reservations.get_mut(id) {
        let charge = std::mem::replace(&mut entry.charge, StoreCharge::None);
        state.end_charge(charge);
    }
    state.start_keep_alive(id, keep_alive, now);
}

fn clear_work(state: &mut PlacementState, entry: &ReservationEntry, now: time::Instant) {
    if let Some(artifact) = state.catalog.get_mut(entry.artifact) {
        artifact.in_flight = artifact.in_flight.saturating_sub(entry.in_flight);
        artifact.update_idle_since(now);
    }
    for instance in entry.work.keys() {
        if let Some(instance) = state.instances.get_mut(instance) {
            instance.busy_replicas.remove(&entry.reservation.id);
        }
    }
}
