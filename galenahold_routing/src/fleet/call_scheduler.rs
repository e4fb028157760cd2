//! The scheduler that assigns calls to backend servers.

use std::collections;
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

/// Places the calls of declared services at backend servers, for one entry instance.
///
/// A call goes to the least busy server that can run it. Calls that share a prompt prefix go to the same
/// server as long as it is not much busier than others. If no server can take a call, the call waits if
/// a slot is expected before its caller gives up, and is refused at once otherwise.
#[derive(Debug, Default)]
pub struct CallScheduler {
    servers: fleet::ServerSet,
    runs: fleet::RunLedger,
    queue: fleet::WaitQueue,
    usages: collections::HashMap<(name::ServiceName, name::ModelName), fleet::ModelUsage>,
    estimate: fleet::LoadEstimate,
    used_adapters: collections::HashSet<(name::ServerName, domain::HeldAdapter)>,
    followers: u32,
    /// The number of views of other instances' calls that were received.
    view_number: u64,
    /// When the newest view of other instances' calls was summed up.
    view_at: Option<time::Instant>,
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
        self.servers.update(record, &self.runs, now);
    }

    /// Removes a server that is gone.
    pub fn remove_server(&mut self, name: &name::ServerName) {
        self.servers.remove(name);
    }

    /// Applies what other instances use at servers.
    ///
    /// A load of another start of a server than the known one is ignored. The view of all servers is as old
    /// as the newest load, since loads that have not changed are not sent again.
    pub fn apply_loads(&mut self, loads: &[load::ServerLoad]) {
        let instances = if self.followers == 0 {
            ASSUMED_FOLLOWERS
        } else {
            self.followers
        };
        self.view_number += 1;
        for load in loads {
            self.view_at = self.view_at.max(Some(load.measured_at));
            if let Some(server) = self.servers.get_mut(&load.server) {
                server.apply_load(load, instances);
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
        if let Some(refusal) =
            self.rejection(now)
                .refusal(&requirements, calls_ahead, self.has_room())
        {
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
                let Some(refusal) = self
                    .rejection(now)
                    .refusal(&requirements, 0, self.has_room())
                else {
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

    /// Records that the answer to a call has begun, so that its prompt is no longer unread.
    pub fn begin_answer(&mut self, run: fleet::RunKey) {
        if let Some((run, read_tokens)) = self.runs.begin_answer(run)
            && let Some(server) = self.servers.start_mut(&run.server, run.started_ms)
        {
            server.own.subtract(fleet::CallUse {
                unread_tokens: read_tokens,
                ..fleet::CallUse::default()
            });
        }
    }

    /// Gives back all that an attempt uses, as it has ended; has no effect if that was done before.
    pub fn finish(&mut self, run: fleet::RunKey) {
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        if let Some(server) = self.servers.start_mut(&run.server, run.started_ms) {
            server.own.subtract(run.uses);
            server.claims.free();
        }
        if let Some(model) = run.model
            && let Some(usage) = self.usages.get_mut(&(run.service, model))
        {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Returns what the calls of this instance use at each server where any is in flight.
    #[must_use]
    pub fn uses(&self) -> Vec<load::ServerUse> {
        let used = self.servers.iter().filter(|server| server.own.running > 0);
        used.map(|server| load::ServerUse {
            server: server.record.name.clone(),
            started_ms: server.record.started_ms,
            running: server.own.running,
            unread_tokens: server.own.unread_tokens,
            cache_tokens: server.own.cache_tokens,
            paces: Vec::new(),
        })
        .collect()
    }

    /// Sends no call to a start of a server for the time that it stated as it turned a call away.
    pub fn close(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        stated: time::Duration,
        now: time::Instant,
    ) {
        self.servers.closures.close(server, started_ms, stated, now);
    }

    /// Returns whether a call that was placed at this start of the server may still be sent to it.
    #[must_use]
    pub fn accepts(&self, server: &name::ServerName, started_ms: u64, now: time::Instant) -> bool {
        if self
            .servers
            .closures
            .opens_in(server, started_ms, now)
            .is_some()
        {
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
        let name = self.selection(now).choose(requirements)?;
        let server = self.servers.get_mut(&name)?;
        let uses = expected_use(&requirements.work);
        server.own.add(uses);
        server.claims.claim();
        let run = self.runs.insert(fleet::PlacedRun {
            server: name.clone(),
            started_ms: server.record.started_ms,
            service: requirements.service.clone(),
            model: requirements
                .target
                .as_ref()
                .map(|target| target.model.clone()),
            uses,
        });
        let adapter = requirements
            .target
            .as_ref()
            .and_then(fleet::ModelTarget::held_adapter);
        let placement = fleet::CallPlacement {
            run,
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

    fn selection(&self, now: time::Instant) -> fleet::ServerSelection<'_> {
        fleet::ServerSelection {
            servers: &self.servers,
            data_centre: self.data_centre.as_ref(),
            view_number: self.view_number,
            weight: self.view_weight(now),
            now,
        }
    }

    fn view_weight(&self, now: time::Instant) -> fleet::ViewWeight {
        let age = self.view_at.map(|at| now.saturating_duration_since(at));
        age.map_or(fleet::ViewWeight::NONE, fleet::ViewWeight::at_age)
    }

    fn rejection(&self, now: time::Instant) -> fleet::CallRejection<'_> {
        fleet::CallRejection {
            servers: &self.servers,
            estimate: &self.estimate,
            closes_at: self.closes_at,
            roster_complete_by: self.roster_complete_by,
            now,
        }
    }

    /// Returns whether another call may wait.
    fn has_room(&self) -> bool {
        self.queue.len() < MAX_WAITING
    }

    fn calls_ahead(&self, requirements: &fleet::CallRequirements) -> usize {
        let model = requirements.target.as_ref().map(|target| &target.model);
        self.queue
            .calls_ahead(&requirements.service, model, requirements.rank)
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

/// Returns what a call with the given work uses at its server until its answer begins.
fn expected_use(work: &load::CallWork) -> fleet::CallUse {
    let bounded = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
    fleet::CallUse {
        running: 1,
        unread_tokens: bounded(work.prompt_tokens),
        cache_tokens: bounded(work.prompt_tokens.saturating_add(work.output_tokens)),
    }
}
