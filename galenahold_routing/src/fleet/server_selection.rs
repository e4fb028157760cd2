//! The selection of the backend server that takes a call.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time;

use galenahold_domain::name;

use crate::fleet;

/// Number of entry instances that is assumed until the roster reports it.
const ASSUMED_FOLLOWERS: u32 = 8;

/// How many times its even share of a server's slots one instance may use, since load is uneven.
const SHARE_FACTOR: f64 = 2.5;

/// Minimum number of calls that one instance may have at a server.
const MIN_IN_FLIGHT: u32 = 2;

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
    /// How many entry instances share the servers; zero if unknown.
    pub(super) followers: u32,
    /// The time of the decision.
    pub(super) now: time::Instant,
}

impl ServerSelection<'_> {
    /// Returns the server that the call is sent to now, if any can take it.
    pub(super) fn choose(
        &self,
        requirements: &fleet::CallRequirements,
    ) -> Option<name::ServerName> {
        let candidates: Vec<_> = self
            .servers
            .eligible(requirements, self.now)
            .filter(|server| !server.is_paused(self.now) && server.own.running < self.quota(server))
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
                server.busyness(min_latency) * distance,
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

    /// Returns whether a server is in this instance's data centre.
    fn is_local(&self, server: &fleet::SchedulerServer) -> bool {
        self.data_centre == Some(&server.record.data_centre)
    }

    /// Returns the maximum number of calls that this instance may have at a server at once.
    fn quota(&self, server: &fleet::SchedulerServer) -> u32 {
        let followers = if self.followers == 0 {
            ASSUMED_FOLLOWERS
        } else {
            self.followers
        };
        let even = f64::from(server.record.slots) / f64::from(followers);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is at most a few hundred and not negative"
        )]
        let quota = (even * SHARE_FACTOR).ceil() as u32;
        quota.clamp(MIN_IN_FLIGHT, server.record.slots.max(MIN_IN_FLIGHT))
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
