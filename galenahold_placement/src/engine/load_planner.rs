//! Chooses which artifacts to load next, and on which servers.

use std::time;

use galenahold_domain::{placement, server};

use crate::engine;
use crate::engine::artifact_key::ArtifactKey;
use crate::engine::eviction_planner;
use crate::engine::placement_state::PlacementState;
use crate::engine::server_entry::{self, LoadProposal};
use crate::engine::server_key::ServerKey;
use crate::engine::store_charge::StoreCharge;
use crate::policy;

/// Maximum number of loads that are planned in one step.
const MAX_CANDIDATES: usize = 16;
/// Maximum number of candidate servers from each index.
const MAX_SERVERS: usize = 8;
/// Weight, in waiting requests, of an artifact that has fewer replicas than its minimum but no
/// waiting requests.
const MIN_REPLICAS_WEIGHT: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct ScoredArtifact {
    score: f64,
    key: ArtifactKey,
}

/// Plans the loads that may start now.
pub(super) fn plan<O, K, D>(
    state: &mut PlacementState,
    policies: &engine::PlacementPolicies<O, K, D>,
    now: time::Instant,
) where
    O: policy::LoadOrder,
    K: policy::KeepAlive,
    D: policy::Destination,
{
    state.plan_due = false;
    if !state.is_active(now) || state.waiting.is_empty() {
        return;
    }
    for ScoredArtifact { key, .. } in top_candidates(state, &policies.order, now) {
        if !try_place(state, key, &policies.destination, now) {
            eviction_planner::plan_eviction(state, key, &policies.keep_alive, now);
        }
    }
}

fn top_candidates<O: policy::LoadOrder>(
    state: &mut PlacementState,
    order: &O,
    now: time::Instant,
) -> Vec<ScoredArtifact> {
    let allows_adapter_load = state.budget.allows_adapter_load();
    let mut scored: Vec<_> = state
        .waiting
        .iter()
        .filter(|key| allows_adapter_load || !is_adapter(state, **key))
        .filter_map(|key| {
            let candidate = candidate(state, *key, now)?;
            let score = order.score(&candidate);
            Some(ScoredArtifact { score, key: *key })
        })
        .collect();
    let by_score = |left: &ScoredArtifact, right: &ScoredArtifact| {
        right
            .score
            .total_cmp(&left.score)
            .then(left.key.cmp(&right.key))
    };
    if scored.len() > MAX_CANDIDATES {
        scored.select_nth_unstable_by(MAX_CANDIDATES, by_score);
        scored.truncate(MAX_CANDIDATES);
    }
    scored.sort_unstable_by(by_score);
    scored
}

fn is_adapter(state: &PlacementState, key: ArtifactKey) -> bool {
    state
        .catalog
        .get(key)
        .is_some_and(|entry| entry.base.is_some())
}

/// Builds the load candidate of an artifact; the candidate of a base model includes the demand for
/// its waiting adapters.
fn candidate(
    state: &PlacementState,
    key: ArtifactKey,
    now: time::Instant,
) -> Option<policy::LoadCandidate> {
    let entry = state.catalog.get(key)?;
    let adapters = entry
        .waiting_adapters
        .iter()
        .filter_map(|adapter| state.catalog.get(*adapter));
    let mut waiting = 0;
    let mut fair_waiting = 0.0;
    let mut oldest_wait = time::Duration::ZERO;
    for entry in std::iter::once(entry).chain(adapters) {
        waiting += entry.demand.waiting();
        fair_waiting += entry
            .demand
            .teams()
            .map(|team| f64::from(team.waiting) / (1.0 + state.team_loads.count(&team.team, now)))
            .sum::<f64>();
        let oldest = entry.demand.oldest_since();
        let wait = oldest.map(|at| now.saturating_duration_since(at));
        oldest_wait = oldest_wait.max(wait.unwrap_or_default());
    }
    let min_weight = if waiting == 0 {
        MIN_REPLICAS_WEIGHT
    } else {
        0.0
    };
    Some(policy::LoadCandidate {
        waiting,
        fair_waiting: fair_waiting.max(min_weight),
        oldest_wait,
        expected_load: state.reload_time(key),
    })
}

/// Requests a reserve on the best server with enough free memory.
///
/// Returns false only if no such server exists; returns true as well if the limits on loads
/// postpone the load.
fn try_place<D: policy::Destination>(
    state: &mut PlacementState,
    key: ArtifactKey,
    destination: &D,
    now: time::Instant,
) -> bool {
    let may_use_store = state.budget.allows_model_load(now);
    let is_adapter = is_adapter(state, key);
    if is_adapter && !state.budget.allows_adapter_load() {
        return true;
    }
    let Some(entry) = state.catalog.get(key) else {
        return true;
    };
    let mut best: Option<RankedServer> = None;
    let mut store_limited = false;
    for server in servers_for(state, key) {
        if !can_load(state, server, key, now) {
            continue;
        }
        let Some(candidate) = destination_candidate(state, server, key) else {
            continue;
        };
        let needs_store = !is_adapter && candidate.tier == server::CheckpointTier::Remote;
        if needs_store && !may_use_store {
            store_limited = true;
            continue;
        }
        let cost = destination.cost(&candidate);
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            let tier = candidate.tier;
            best = Some(RankedServer { cost, server, tier });
        }
    }
    let bytes = entry.bytes;
    let Some(best) = best else {
        return store_limited;
    };
    let charge = match (is_adapter, best.tier) {
        (true, _) => StoreCharge::Adapter,
        (false, server::CheckpointTier::Remote) => StoreCharge::Model,
        (false, _) => StoreCharge::None,
    };
    let proposal = LoadProposal {
        artifact: key,
        bytes,
        tier: best.tier,
        charge,
    };
    request_reserve(state, best.server, proposal, now);
    true
}

struct RankedServer {
    cost: f64,
    server: ServerKey,
    tier: server::CheckpointTier,
}

/// Lists candidate servers for an artifact.
///
/// For an adapter these are the servers that hold its base model; for a model, those with a nearby
/// checkpoint, with the tightest fit and with the most free memory.
pub(super) fn servers_for(state: &PlacementState, key: ArtifactKey) -> Vec<ServerKey> {
    let Some(entry) = state.catalog.get(key) else {
        return Vec::new();
    };
    if let Some(base) = entry.base {
        return servers_with_base(state, base);
    }
    let near = state.servers.with_checkpoint(&entry.artifact);
    let mut servers: Vec<_> = near.take(MAX_SERVERS).collect();
    let tight = state.servers.with_free(entry.bytes).take(MAX_SERVERS);
    let free = state.servers.with_free(entry.bytes).rev().take(MAX_SERVERS);
    servers.extend(tight.chain(free));
    servers.sort_unstable();
    servers.dedup();
    servers
}

/// Returns whether a server may be asked to load an artifact now, regardless of its free memory.
pub(super) fn accepts_load(
    state: &PlacementState,
    server: ServerKey,
    key: ArtifactKey,
    now: time::Instant,
) -> bool {
    let Some(entry) = state.servers.get(server) else {
        return false;
    };
    let unclaimed = entry.claimed_by.is_none_or(|claimed_by| claimed_by == key);
    let backing_off = entry.backoff_until.is_some_and(|until| now < until);
    let has_open_order = entry.proposal.is_some() || entry.unsettled_order.is_some();
    unclaimed
        && !backing_off
        && !has_open_order
        && !entry.is_leaving()
        && entry.was_seen_within(state.settings.server_expiry, now)
        && state.reservation_at(server, key).is_none()
}

fn can_load(
    state: &PlacementState,
    server: ServerKey,
    key: ArtifactKey,
    now: time::Instant,
) -> bool {
    let bytes = state.catalog.get(key).map(|entry| entry.bytes);
    let free = state
        .servers
        .get(server)
        .map(server_entry::ServerEntry::free);
    bytes.is_some_and(|bytes| free >= Some(bytes)) && accepts_load(state, server, key, now)
}

fn servers_with_base(state: &PlacementState, base: ArtifactKey) -> Vec<ServerKey> {
    let replicas = state
        .catalog
        .get(base)
        .map_or(&[][..], |entry| &entry.replicas);
    let loaded = replicas
        .iter()
        .filter_map(|id| state.reservations.get(*id))
        .filter(|entry| entry.is_in(placement::ReservationState::Loaded));
    loaded
        .map(|entry| entry.server)
        .take(MAX_SERVERS * 2)
        .collect()
}

fn destination_candidate(
    state: &PlacementState,
    server: ServerKey,
    key: ArtifactKey,
) -> Option<policy::DestinationCandidate> {
    let artifact = state.catalog.get(key)?;
    let entry = state.servers.get(server)?;
    let announced = entry.announced.as_ref()?;
    let tier = if artifact.base.is_some() {
        server::CheckpointTier::Memory
    } else {
        entry.tier_of(&artifact.artifact)
    };
    let replicas_in_data_centre = artifact
        .replicas
        .iter()
        .filter_map(|id| {
            state
                .servers
                .get(state.reservations.get(*id)?.server)?
                .announced
                .as_ref()
        })
        .filter(|other| other.data_centre == announced.data_centre)
        .count();
    Some(policy::DestinationCandidate {
        tier,
        expected_load: state.load_time.estimate(tier, artifact.bytes),
        free_after_load: entry.free().saturating_sub(artifact.bytes),
        replicas_in_data_centre: u32::try_from(replicas_in_data_centre).unwrap_or(u32::MAX),
        active_requests: announced.active_requests,
    })
}

fn request_reserve(
    state: &mut PlacementState,
    server: ServerKey,
    proposal: LoadProposal,
    now: time::Instant,
) {
    let key = proposal.artifact;
    let (Some(artifact), Some(entry)) = (state.catalog.get(key), state.servers.get(server)) else {
        return;
    };
    let capacity = entry.announced.as_ref().map(|announced| announced.capacity);
    let effect = engine::PlacementEffect::Reserve {
        server: entry.name.clone(),
        incarnation: entry.incarnation,
        capacity: capacity.unwrap_or_default(),
        artifact: artifact.artifact.clone(),
        bytes: proposal.bytes,
    };
    state.effects.push(effect);
    match proposal.charge {
        StoreCharge::None => {}
        StoreCharge::Model => state.budget.start_model_load(now),
        StoreCharge::Adapter => state.budget.start_adapter_load(),
    }
    charge_teams(state, key, now);
    state
        .servers
        .update(server, |entry| entry.proposal = Some(proposal));
    if let Some(artifact) = state.catalog.get_mut(key) {
        artifact.proposed += 1;
    }
    state.refresh(key, now);
}

/// Charges a load to the teams that wait for it, in proportion to their waiting requests.
fn charge_teams(state: &mut PlacementState, key: ArtifactKey, now: time::Instant) {
    let Some(entry) = state.catalog.get(key) else {
        return;
    };
    let waiting = f64::from(entry.demand.waiting().max(1));
    for team in entry.demand.teams() {
        let share = f64::from(team.waiting) / waiting;
        state.team_loads.record(&team.team, share, now);
    }
}
