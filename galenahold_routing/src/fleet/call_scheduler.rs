//! The scheduler that assigns calls to backend servers.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::load;

/// Maximum number of calls that wait at one instance.
const MAX_WAITING: usize = 1_024;

/// Maximum number of waiting calls of one model whose remaining times are reported to the leader.
const MAX_REPORTED_CALLS: usize = 8;

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

/// How long a slot is expected to stay occupied when all slots are.
const SLOT_TIME: time::Duration = time::Duration::from_millis(150);

/// Retry time of a call that finds no server at all.
const NO_SERVER_RETRY: time::Duration = time::Duration::from_millis(700);

/// Minimum retry time of a refused call.
const MIN_RETRY: time::Duration = time::Duration::from_millis(200);

/// Places the calls of declared services at backend servers, for one entry instance.
///
/// A call goes to the least busy server that can run it. Calls that share a prompt prefix go to the same
/// server as long as it is not much busier than others. If no server can take a call, the call waits if
/// a slot is expected before its caller gives up, and is refused at once otherwise.
#[derive(Debug, Default)]
pub struct CallScheduler {
    servers: collections::BTreeMap<name::ServerName, fleet::SchedulerServer>,
    closures: fleet::ServerClosures,
    queue: fleet::WaitQueue,
    usages: collections::HashMap<(name::ServiceName, name::ModelName), fleet::ModelUsage>,
    estimate: fleet::LoadEstimate,
    used_adapters: collections::HashSet<(name::ServerName, domain::HeldAdapter)>,
    followers: u32,
    data_centre: Option<name::DataCentreName>,
    closes_at: Option<time::Instant>,
    /// Until when the roster may lack servers that exist.
    roster_complete_by: Option<time::Instant>,
}

impl CallScheduler {
    /// Returns a scheduler that prefers servers in the given data centre, in which its instance runs.
    #[must_use]
    pub fn in_data_centre(data_centre: name::DataCentreName) -> Self {
        Self {
            data_centre: Some(data_centre),
            ..Self::default()
        }
    }

    /// Bounds the wait of all calls by the time at which the instance stops, so that refused calls can still
    /// be served by other instances.
    pub fn close_at(&mut self, moment: time::Instant) {
        self.closes_at = Some(moment);
    }

    /// Sets until when the roster may lack servers, for a scheduler that follows a new leader and knew no
    /// servers before.
    ///
    /// After a power loss of the whole fleet, the first requests arrive before the servers have registered
    /// with the new leader. Without the wait they would be refused although their models are loaded.
    pub fn expect_servers_until(&mut self, moment: time::Instant) {
        self.roster_complete_by = Some(moment);
    }

    /// Applies a declaration, from which load times are estimated.
    pub fn declare(&mut self, declaration: &declaration::FleetDeclaration) {
        self.estimate = fleet::LoadEstimate::new(&declaration.services);
    }

    /// Sets how many entry instances share the servers.
    pub fn set_followers(&mut self, followers: u32) {
        self.followers = followers;
    }

    /// Adds or updates a server from its roster record.
    pub fn update_server(&mut self, record: domain::ServerRecord, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(&record.name) {
            server.update(record, now);
            return;
        }
        let server = fleet::SchedulerServer::new(record, now);
        self.servers.insert(server.record.name.clone(), server);
    }

    /// Removes a server that is gone.
    pub fn remove_server(&mut self, name: &name::ServerName) {
        self.servers.remove(name);
    }

    /// Applies what other instances use at servers.
    ///
    /// A load of another start of a server than the known one is ignored.
    pub fn apply_loads(&mut self, loads: &[load::ServerLoad]) {
        for load in loads {
            if let Some(server) = self.servers.get_mut(&load.server) {
                server.apply_load(load);
            }
        }
    }

    /// Places, queues or refuses a new call.
    pub fn submit(
        &mut self,
        requirements: fleet::CallRequirements,
        now: time::Instant,
    ) -> fleet::CallSubmission {
        if let Some(usage) = self.usage(&requirements) {
            usage.arrivals += 1;
        }
        self.resubmit(requirements, now)
    }

    /// Places, queues or refuses a call again whose last attempt provably did not run.
    pub fn resubmit(
        &mut self,
        requirements: fleet::CallRequirements,
        now: time::Instant,
    ) -> fleet::CallSubmission {
        let calls_ahead = self.calls_ahead(&requirements);
        if calls_ahead == 0
            && let Some(placement) = self.place(&requirements, now)
        {
            return fleet::CallSubmission::Placed(placement);
        }
        if let Some(refusal) = self.refusal(&requirements, calls_ahead, now) {
            return fleet::CallSubmission::Refused(refusal);
        }
        if let Some(usage) = self.usage(&requirements) {
            usage.waiting += 1;
        }
        fleet::CallSubmission::Waiting(self.queue.push(requirements))
    }

    /// Removes a waiting call whose caller has left.
    pub fn withdraw(&mut self, ticket: fleet::CallTicket) {
        if let Some(call) = self.queue.remove(ticket) {
            self.stop_waiting(&call.requirements);
        }
    }

    /// Places or refuses the waiting calls that can be decided now.
    pub fn poll(&mut self, now: time::Instant) -> Vec<fleet::PlacedCall> {
        let mut settled = Vec::new();
        let mut blocked = collections::HashSet::new();
        let waiting: Vec<_> = self
            .queue
            .iter()
            .map(|call| (call.ticket, call.requirements.clone()))
            .collect();
        for (ticket, requirements) in waiting {
            let key = (requirements.service.clone(), requirements.target.clone());
            let placement = if blocked.contains(&key) {
                None
            } else {
                self.place(&requirements, now)
            };
            let result = if let Some(placement) = placement {
                Ok(placement)
            } else {
                blocked.insert(key);
                let Some(refusal) = self.refusal(&requirements, 0, now) else {
                    continue;
                };
                Err(refusal)
            };
            self.withdraw(ticket);
            settled.push(fleet::PlacedCall { ticket, result });
        }
        settled
    }

    /// Returns whether any call waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queue.len() > 0
    }

    /// Frees the slot of an attempt that has ended.
    pub fn finish(
        &mut self,
        server: &name::ServerName,
        target: Option<&fleet::ModelTarget>,
        service: &name::ServiceName,
    ) {
        if let Some(known) = self.servers.get_mut(server) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
        if let Some(target) = target {
            let key = (service.clone(), target.model.clone());
            if let Some(usage) = self.usages.get_mut(&key) {
                usage.running = usage.running.saturating_sub(1);
            }
        }
    }

    /// Sends no call to a start of a server for the time that it stated as it turned a call away.
    pub fn close(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        stated: time::Duration,
        now: time::Instant,
    ) {
        self.closures.close(server, started_ms, stated, now);
    }

    /// Returns whether a call that was placed at this start of the server may still be sent to it.
    #[must_use]
    pub fn accepts(&self, server: &name::ServerName, started_ms: u64, now: time::Instant) -> bool {
        if self.closures.opens_in(server, started_ms, now).is_some() {
            return false;
        }
        let known = self.servers.get(server).map(|known| &known.record);
        known.is_some_and(|record| record.started_ms == started_ms && record.is_open())
    }

    /// Updates a server from the result of an attempt.
    pub fn observe(
        &mut self,
        server: &name::ServerName,
        target: Option<&fleet::ModelTarget>,
        report: fleet::AttemptReport,
        now: time::Instant,
    ) {
        let Some(known) = self.servers.get_mut(server) else {
            return;
        };
        known.observe(report, now);
        if report != fleet::AttemptReport::Misplaced {
            return;
        }
        if let Some(adapter) = target.and_then(fleet::ModelTarget::held_adapter) {
            known.adapters.remove(&adapter);
        } else if let Some(target) = target {
            known.mark_missing(target.model.clone(), now);
        }
    }

    /// Records that a server holds an adapter.
    pub fn record_adapter(&mut self, server: &name::ServerName, adapter: domain::HeldAdapter) {
        if let Some(known) = self.servers.get_mut(server) {
            known.adapters.insert(adapter);
        }
    }

    /// Returns the usage of each model and starts a new count of arrivals; idle models are left out.
    pub fn take_usages(
        &mut self,
    ) -> Vec<((name::ServiceName, name::ModelName), fleet::ModelUsage)> {
        let taken = self
            .usages
            .iter()
            .filter(|(_, usage)| !usage.is_idle())
            .map(|(key, usage)| (key.clone(), *usage))
            .collect();
        for usage in self.usages.values_mut() {
            usage.arrivals = 0;
        }
        self.usages.retain(|_, usage| !usage.is_idle());
        taken
    }

    /// Returns the remaining times of the calls that wait for each model: up to 8, the earliest due first.
    #[must_use]
    pub fn waiting_calls(
        &self,
        now: time::Instant,
    ) -> collections::HashMap<(name::ServiceName, name::ModelName), Vec<fleet::CallTimes>> {
        let mut calls = collections::HashMap::<_, Vec<_>>::new();
        for call in self.queue.iter() {
            let requirements = &call.requirements;
            let Some(target) = &requirements.target else {
                continue;
            };
            let closes_at = self.closes_at.unwrap_or(requirements.wait_deadline);
            let leaves_at = requirements.wait_deadline.min(closes_at);
            let key = (requirements.service.clone(), target.model.clone());
            calls.entry(key).or_default().push(fleet::CallTimes {
                due_in: requirements.due_at.saturating_duration_since(now),
                leaves_in: leaves_at.saturating_duration_since(now),
            });
        }
        for times in calls.values_mut() {
            times.sort_unstable();
            times.truncate(MAX_REPORTED_CALLS);
        }
        calls
    }

    /// Returns the adapters that were used since the last call and forgets them.
    pub fn take_used_adapters(&mut self) -> Vec<(name::ServerName, domain::HeldAdapter)> {
        self.used_adapters.drain().collect()
    }

    /// Places the call at a server that can take it now, and occupies a slot there.
    fn place(
        &mut self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> Option<fleet::CallPlacement> {
        let name = self.choose(requirements, now)?;
        let server = self.servers.get_mut(&name)?;
        server.in_flight += 1;
        let adapter = requirements
            .target
            .as_ref()
            .and_then(fleet::ModelTarget::held_adapter);
        let placement = fleet::CallPlacement {
            server: name.clone(),
            started_ms: server.record.started_ms,
            address: server.record.address,
            needs_adapter: adapter
                .as_ref()
                .is_some_and(|adapter| !server.adapters.contains(adapter)),
        };
        if let Some(adapter) = adapter {
            self.used_adapters.insert((name, adapter));
        }
        if let Some(usage) = self.usage(requirements) {
            usage.running += 1;
        }
        Some(placement)
    }

    fn choose(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> Option<name::ServerName> {
        let candidates: Vec<_> = self
            .eligible(requirements, now)
            .filter(|server| !server.is_paused(now) && server.in_flight < self.quota(server))
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
        self.data_centre.as_ref() == Some(&server.record.data_centre)
    }

    /// Iterates over the servers that take requests and hold the service and model of the call.
    fn eligible<'a>(
        &'a self,
        requirements: &'a fleet::CallRequirements,
        now: time::Instant,
    ) -> impl Iterator<Item = &'a fleet::SchedulerServer> {
        self.servers.values().filter(move |server| {
            server.record.service == requirements.service
                && server.is_open(now)
                && self.closed_for(server, now).is_none()
                && requirements
                    .target
                    .as_ref()
                    .is_none_or(|target| server.serves_model(&target.model, now))
        })
    }

    fn closed_for(
        &self,
        server: &fleet::SchedulerServer,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let record = &server.record;
        self.closures.opens_in(&record.name, record.started_ms, now)
    }

    /// Returns when the first server opens that could take the call if it had not asked for a pause.
    fn until_opened(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let of_service = self
            .servers
            .values()
            .filter(|server| server.record.service == requirements.service && server.is_open(now));
        let holding = of_service.filter(|server| {
            let target = requirements.target.as_ref();
            target.is_none_or(|target| server.serves_model(&target.model, now))
        });
        holding
            .filter_map(|server| self.closed_for(server, now))
            .min()
    }

    /// Returns the reason to refuse a call that cannot be placed now, or `None` if it may wait.
    fn refusal(
        &self,
        requirements: &fleet::CallRequirements,
        calls_ahead: usize,
        now: time::Instant,
    ) -> Option<fleet::SchedulerRefusal> {
        let closes_at = self.closes_at.unwrap_or(requirements.wait_deadline);
        let until = requirements.wait_deadline.min(closes_at);
        let time_left = until.saturating_duration_since(now);
        let eligible = self.eligible(requirements, now).count();
        let (cause, expected) = if let Some(rounds) = calls_ahead.checked_div(eligible) {
            let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
            (fleet::RefusalCause::Full, SLOT_TIME.saturating_mul(rounds))
        } else {
            let (cause, expected) = self.until_loaded(requirements, now);
            if let Some(opens_in) = self.until_opened(requirements, now)
                && (cause == fleet::RefusalCause::NoServer || opens_in <= expected)
            {
                return Some(fleet::SchedulerRefusal {
                    cause: fleet::RefusalCause::Closed,
                    retry_after: opens_in,
                });
            }
            let roster_wait = self.roster_wait(now);
            (
                cause,
                roster_wait.map_or(expected, |wait| wait.min(expected)),
            )
        };
        let refused = expected >= time_left || self.queue.len() >= MAX_WAITING;
        refused.then(|| fleet::SchedulerRefusal {
            cause,
            retry_after: expected.max(MIN_RETRY),
        })
    }

    /// Estimates when a server can take the call, if none can now.
    fn until_loaded(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> (fleet::RefusalCause, time::Duration) {
        let mut of_service = self
            .servers
            .values()
            .filter(|server| {
                server.record.service == requirements.service && server.record.is_open()
            })
            .peekable();
        let Some(target) = requirements
            .target
            .as_ref()
            .filter(|_| of_service.peek().is_some())
        else {
            return (fleet::RefusalCause::NoServer, NO_SERVER_RETRY);
        };
        let expected =
            self.estimate
                .until_loaded(&requirements.service, &target.model, of_service, now);
        (fleet::RefusalCause::NotLoaded, expected)
    }

    /// Returns the time until the roster lists all servers, or `None` if that time has passed.
    fn roster_wait(&self, now: time::Instant) -> Option<time::Duration> {
        let complete_by = self
            .roster_complete_by
            .filter(|complete_by| now < *complete_by)?;
        Some(complete_by - now)
    }

    fn calls_ahead(&self, requirements: &fleet::CallRequirements) -> usize {
        let model = requirements.target.as_ref().map(|target| &target.model);
        self.queue
            .calls_ahead(&requirements.service, model, requirements.rank)
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

    fn usage(&mut self, requirements: &fleet::CallRequirements) -> Option<&mut fleet::ModelUsage> {
        let target = requirements.target.as_ref()?;
        let key = (requirements.service.clone(), target.model.clone());
        Some(self.usages.entry(key).or_default())
    }

    fn stop_waiting(&mut self, requirements: &fleet::CallRequirements) {
        if let Some(usage) = self.usage(requirements) {
            usage.waiting = usage.waiting.saturating_sub(1);
        }
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
