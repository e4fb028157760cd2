//! The selection of the backend server that takes a call.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time;

use galenahold_domain::name;

use crate::fleet;

/// Factor by which the server with a call's shared prompt prefix may be busier than the least busy one.
const AFFINITY_FACTOR: f64 = 1.2;

/// Calls that the server with the shared prompt prefix may have in addition to the factor.
const AFFINITY_SLACK: f64 = 0.5;

/// Factor by which a server in another data centre counts as busier: traffic between data centres is
/// expensive and takes a millisecond or two each way.
const DISTANCE_FACTOR: f64 = 1.15;

/// Selects the server for one call among those that can take it now.
///
/// A call goes to the least busy server that can run it. Calls that share a prompt prefix go to the same
/// server as long as it is not much busier than others.
#[derive(Debug)]
pub(super) struct ServerSelection<'a> {
    /// The known servers.
    pub(super) servers: &'a fleet::ServerSet,
    /// The data centre of this instance, if it is known.
    pub(super) data_centre: Option<&'a name::DataCentreName>,
    /// The number of views of other instances' calls that were received.
    pub(super) view_number: u64,
    /// How much the view of other instances' calls counts.
    pub(super) weight: fleet::ViewWeight,
    /// The time of the decision.
    pub(super) now: time::Instant,
}

impl ServerSelection<'_> {
    /// Returns the server that the call is sent to now, if any can take it.
    pub(super) fn choose(
        &self,
        requirements: &fleet::CallRequirements,
    ) -> Option<name::ServerName> {
        let chance = self.chance(requirements);
        let candidates: Vec<_> = self
            .servers
            .eligible(requirements, self.now)
            .filter(|server| {
                !server.is_paused(self.now) && server.has_slot(server.total(self.weight), chance)
            })
            .collect();
        let untried: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|server| !requirements.tried.contains(&server.record.name))
            .collect();
        let candidates = if untried.is_empty() {
            candidates
        } else {
            untried
        };
        if let Some(place) = requirements.suspect_place {
            return choose_apart(candidates, place);
        }
        let candidates = prefer_adapter(requirements, candidates);
        let min_latency = candidates
            .iter()
            .filter_map(|server| server.latency_s())
            .min_by(f64::total_cmp)
            .unwrap_or(1.0);
        let score = |server: &&fleet::SchedulerServer| {
            let local = self.is_local(server);
            let distance = if local { 1.0 } else { DISTANCE_FACTOR };
            (
                server.busyness(server.total(self.weight), min_latency) * distance,
                affinity_rank(requirements, server),
            )
        };
        let least_busy = candidates
            .iter()
            .copied()
            .min_by(|one, other| compare_scores(score(one), score(other)))?;
        let bound = score(&least_busy).0 * AFFINITY_FACTOR + AFFINITY_SLACK;
        if requirements.target.is_none() {
            return Some(least_busy.record.name.clone());
        }
        // The lowest hash rank selects the same server for all calls that share this prompt prefix.
        let preferred = candidates
            .iter()
            .copied()
            .min_by_key(|server| (!self.is_local(server), affinity_rank(requirements, server)))
            .filter(|server| score(server).0 <= bound);
        Some(preferred.unwrap_or(least_busy).record.name.clone())
    }

    /// Returns a uniform number between zero and one, which stays the same for a call until the next view.
    fn chance(&self, requirements: &fleet::CallRequirements) -> f64 {
        let mut hasher = collections::hash_map::DefaultHasher::new();
        requirements.draw.hash(&mut hasher);
        self.view_number.hash(&mut hasher);
        let [high, low, ..] = hasher.finish().to_be_bytes().map(f64::from);
        (high * 256.0 + low) / 65_536.0
    }

    /// Returns whether a server is in this instance's data centre.
    fn is_local(&self, server: &fleet::SchedulerServer) -> bool {
        self.data_centre == Some(&server.record.data_centre)
    }
}

/// Keeps the servers that hold the call's adapter; if none does, those that can load it now.
fn prefer_adapter<'a>(
    requirements: &fleet::CallRequirements,
    candidates: Vec<&'a fleet::SchedulerServer>,
) -> Vec<&'a fleet::SchedulerServer> {
    let adapter = requirements
        .target
        .as_ref()
        .and_then(fleet::ModelTarget::held_adapter);
    let Some(adapter) = adapter else {
        return candidates;
    };
    let holding: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|server| server.adapters.contains(&adapter))
        .collect();
    if !holding.is_empty() {
        return holding;
    }
    let not_loading: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|server| server.record.loading.is_none())
        .collect();
    if not_loading.is_empty() {
        candidates
    } else {
        not_loading
    }
}

/// Ranks a server for the shared prompt prefix of a call; the server with the lowest rank keeps the prefix.
fn affinity_rank(requirements: &fleet::CallRequirements, server: &fleet::SchedulerServer) -> u64 {
    let mut hasher = collections::hash_map::DefaultHasher::new();
    requirements.affinity.hash(&mut hasher);
    server.record.name.hash(&mut hasher);
    hasher.finish()
}

/// Chooses the server for a call with the given place among calls that are kept apart: all instances
/// with the same candidates choose the same.
fn choose_apart(
    mut candidates: Vec<&fleet::SchedulerServer>,
    place: usize,
) -> Option<name::ServerName> {
    candidates.sort_by(|one, other| one.record.name.cmp(&other.record.name));
    let position = place.checked_rem(candidates.len())?;
    let chosen = candidates.get(position)?;
    Some(chosen.record.name.clone())
}

fn compare_scores(one: (f64, u64), other: (f64, u64)) -> std::cmp::Ordering {
    one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
}
