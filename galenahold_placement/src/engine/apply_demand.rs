//! Applies demand reports of instances to the placement state.

use std::collections;
use std::time;

use galenahold_domain::{amount, name, placement};

use crate::demand;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::instance_entry::InstanceEntry;
use crate::engine::placement_state::PlacementState;
use crate::policy;

/// Applies a report. Reports of earlier incarnations are ignored.
pub(super) fn apply<K: policy::KeepAlive>(
    state: &mut PlacementState,
    report: &demand::DemandReport,
    keep_alive: &K,
    now: time::Instant,
) {
    let known = state.instances.get(&report.instance);
    let known = known.map(|entry| entry.incarnation);
    if known.is_some_and(|incarnation| incarnation > report.incarnation) {
        return;
    }
    if known.is_some_and(|incarnation| incarnation < report.incarnation) {
        clear_waiting(state, &report.instance, now);
        clear_work(state, &report.instance, keep_alive, now);
    }
    record_report(state, report, now);
    for demand in &report.demands {
        apply_artifact_demand(state, &report.instance, demand, keep_alive, now);
    }
    for work in &report.work {
        apply_work(state, &report.instance, work, keep_alive, now);
    }
}

/// Removes the demand and work of instances that have stopped reporting.
pub(super) fn expire<K: policy::KeepAlive>(
    state: &mut PlacementState,
    keep_alive: &K,
    now: time::Instant,
) {
    let (demand_expiry, work_expiry) = (state.settings.demand_expiry, state.settings.work_expiry);
    let silent: Vec<_> = state
        .instances
        .iter()
        .filter(|(_, entry)| now.saturating_duration_since(entry.reported_at) > demand_expiry)
        .map(|(name, _)| name.clone())
        .collect();
    for instance in silent {
        clear_waiting(state, &instance, now);
        let reported_at = state
            .instances
            .get(&instance)
            .map(|entry| entry.reported_at);
        let is_expired =
            reported_at.is_some_and(|at| now.saturating_duration_since(at) > work_expiry);
        if is_expired {
            clear_work(state, &instance, keep_alive, now);
            state.instances.remove(&instance);
        }
    }
}

fn record_report(state: &mut PlacementState, report: &demand::DemandReport, now: time::Instant) {
    let entry = state.instances.entry(report.instance.clone());
    let entry = entry.or_insert_with(|| InstanceEntry {
        incarnation: report.incarnation,
        reported_at: now,
        waiting: collections::BTreeSet::new(),
        busy_replicas: collections::BTreeSet::new(),
    });
    entry.incarnation = report.incarnation;
    entry.reported_at = now;
}

fn apply_artifact_demand<K: policy::KeepAlive>(
    state: &mut PlacementState,
    instance: &name::InstanceName,
    demand: &demand::ArtifactDemand,
    keep_alive: &K,
    now: time::Instant,
) {
    let key = state
        .catalog
        .key_or_insert(&demand.artifact, amount::ByteCount::ZERO, now);
    if let Some(entry) = state.instances.get_mut(instance) {
        if demand.waiting > 0 {
            entry.waiting.insert(key);
        } else {
            entry.waiting.remove(&key);
        }
    }
    let Some(entry) = state.catalog.get_mut(key) else {
        return;
    };
    entry.demand.update(instance, demand, now);
    if demand.arrivals > 0 {
        entry.record_arrival(now);
    }
    entry.update_idle_since(now);
    if demand.arrivals > 0 {
        restart_keep_alive_of_only_replica(state, key, keep_alive, now);
    }
    state.refresh(key, now);
}

/// Restarts the keep-alive time of an artifact's only replica, so that requests that arrived and
/// ended between two reports count as use.
fn restart_keep_alive_of_only_replica<K: policy::KeepAlive>(
    state: &mut PlacementState,
    key: ArtifactKey,
    keep_alive: &K,
    now: time::Instant,
) {
    let replicas = state
        .catalog
        .get(key)
        .map_or(&[][..], |entry| &entry.replicas);
    if let [only] = replicas {
        let only = *only;
        restart_keep_alive(state, only, keep_alive, now);
    }
}

/// Restarts the keep-alive time of a replica and of its base model's replica on the same server.
fn restart_keep_alive<K: policy::KeepAlive>(
    state: &mut PlacementState,
    id: placement::ReservationId,
    keep_alive: &K,
    now: time::Instant,
) {
    state.start_keep_alive(id, keep_alive, now);
    let Some(entry) = state.reservations.get(id) else {
        return;
    };
    let base = state
        .catalog
        .get(entry.artifact)
        .and_then(|entry| entry.base);
    let base_replica = base.and_then(|base| state.reservation_at(entry.server, base));
    if let Some(base_replica) = base_replica {
        state.start_keep_alive(base_replica, keep_alive, now);
    }
}

fn apply_work<K: policy::KeepAlive>(
    state: &mut PlacementState,
    instance: &name::InstanceName,
    work: &demand::ReplicaWork,
    keep_alive: &K,
    now: time::Instant,
) {
    let server = state.servers.key(&work.server);
    let artifact = state.catalog.key(&work.artifact);
    let (Some(server), Some(artifact)) = (server, artifact) else {
        return;
    };
    if let Some(id) = state.reservation_at(server, artifact) {
        set_work(state, id, instance, work.in_flight, keep_alive, now);
    }
}

fn set_work<K: policy::KeepAlive>(
    state: &mut PlacementState,
    id: placement::ReservationId,
    instance: &name::InstanceName,
    in_flight: u32,
    keep_alive: &K,
    now: time::Instant,
) {
    let Some(entry) = state.reservations.get_mut(id) else {
        return;
    };
    let before = if in_flight == 0 {
        entry.work.remove(instance)
    } else {
        entry.work.insert(instance.clone(), in_flight)
    };
    let before = before.unwrap_or(0);
    entry.in_flight = (entry.in_flight + in_flight).saturating_sub(before);
    let (replica_in_flight, artifact) = (entry.in_flight, entry.artifact);
    if let Some(entry) = state.catalog.get_mut(artifact) {
        entry.in_flight = (entry.in_flight + in_flight).saturating_sub(before);
        entry.update_idle_since(now);
    }
    if let Some(entry) = state.instances.get_mut(instance) {
        if in_flight > 0 {
            entry.busy_replicas.insert(id);
        } else {
            entry.busy_replicas.remove(&id);
        }
    }
    if replica_in_flight > 0 {
        state.stop_keep_alive(id);
    } else if before > 0 {
        restart_keep_alive(state, id, keep_alive, now);
    }
}

fn clear_waiting(state: &mut PlacementState, instance: &name::InstanceName, now: time::Instant) {
    let Some(entry) = state.instances.get_mut(instance) else {
        return;
    };
    for key in std::mem::take(&mut entry.waiting) {
        if let Some(artifact) = state.catalog.get_mut(key) {
            artifact.demand.remove(instance);
            artifact.update_idle_since(now);
        }
        state.refresh(key, now);
    }
}

fn clear_work<K: policy::KeepAlive>(
    state: &mut PlacementState,
    instance: &name::InstanceName,
    keep_alive: &K,
    now: time::Instant,
) {
    let Some(entry) = state.instances.get_mut(instance) else {
        return;
    };
    for id in std::mem::take(&mut entry.busy_replicas) {
        set_work(state, id, instance, 0, keep_alive, now);
    }
}
