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
    profiles: collections::HashMap<name::ServiceName, fleet::ServiceProfile>,
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

    /// Applies a declaration, from which load times are estimated and the limits of engines are taken.
    pub fn declare(&mut self, declaration: &declaration::FleetDeclaration) {
        self.estimate = fleet::LoadEstimate::new(&declaration.services);
        self.profiles.retain(|name, _| {
            let mut services = declaration.services.iter();
            services.any(|service| service.name == *name)
        });
        for service in &declaration.services {
            let profile = self.profiles.entry(service.name.clone()).or_default();
            profile.declare(service, &declaration.routes);
        }
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
        let instances = self.instances();
        self.view_number += 1;
        for load in loads {
            self.view_at = self.view_at.max(Some(load.measured_at));
            if let Some(server) = self.servers.get_mut(&load.server) {
                server.apply_load(load, instances);
            }
        }
    }

    /// Applies the speeds of models over all instances, for models without own samples.
    pub fn apply_model_paces(&mut self, paces: &[load::ModelPace]) {
        for profile in self.profiles.values_mut() {
            profile.set_shared_times(paces);
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
        let mut calls_ahead = 0;
        if self.queue.len() > 0 {
            let latest_start = self
                .rejection(&requirements, now)
                .latest_start(&requirements);
            calls_ahead = self.queue.calls_ahead(&requirements, latest_start);
        }
        let block = if calls_ahead > 0 {
            fleet::SelectionBlock::Slots
        } else {
            match self.place(&requirements, now) {
                Ok(placement) => return fleet::CallSubmission::Placed(placement),
                Err(block) => block,
            }
        };
        let rejection = self.rejection(&requirements, now);
        let latest_start = rejection.latest_start(&requirements);
        let expected = rejection.expected_wait(&requirements, block, calls_ahead);
        let has_room = self.queue.len() < MAX_WAITING;
        if let Some(refusal) = rejection.refusal(&requirements, latest_start, expected, has_room) {
            return fleet::CallSubmission::Refused(refusal);
        }
        if let Some(usage) = self.usage(&requirements) {
            usage.waiting += 1;
        }
        fleet::CallSubmission::Waiting(self.queue.push(requirements, latest_start, block))
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
        let mut queue = std::mem::take(&mut self.queue);
        let mut blocked = collections::HashMap::new();
        for call in queue.iter_mut() {
            let requirements = &call.requirements;
            let key = (&requirements.service, requirements.target.as_ref());
            let known: Option<&KeyBlock<'_>> = blocked.get(&key);
            let (block, expected) = match known {
                Some(known) if known.stops(requirements, now) => (known.block, known.expected),
                _ => match self.place(requirements, now) {
                    Ok(placement) => {
                        settled.push(fleet::PlacedCall {
                            ticket: call.ticket,
                            result: Ok(placement),
                        });
                        continue;
                    }
                    Err(block) => {
                        let rejection = self.rejection(requirements, now);
                        (block, rejection.expected_wait(requirements, block, 0))
                    }
                },
            };
            call.block = block;
            let known = KeyBlock {
                block,
                expected,
                work: &requirements.work,
            };
            blocked.insert(key, known);
            let rejection = self.rejection(requirements, now);
            if let Some(refusal) =
                rejection.refusal(requirements, call.latest_start, expected, true)
            {
                settled.push(fleet::PlacedCall {
                    ticket: call.ticket,
                    result: Err(refusal),
                });
            }
        }
        drop(blocked);
        self.queue = queue;
        for call in &settled {
            self.withdraw(call.ticket);
        }
        settled
    }

    /// Returns whether any call waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.queue.len() > 0
    }

    /// Records that the first event of the answer to a call has arrived, `waited` after it was sent: its
    /// prompt is no longer unread.
    pub fn begin_answer(&mut self, run: fleet::RunKey, waited: time::Duration) {
        let Some((run, read_tokens)) = self.runs.begin_answer(run) else {
            return;
        };
        let Some(server) = self.servers.start_mut(&run.server, run.started_ms) else {
            return;
        };
        server.own.subtract(fleet::CallUse {
            unread_tokens: read_tokens,
            ..fleet::CallUse::default()
        });
        if run.found_slot
            && let Some(model) = &run.model
            && let Some(profile) = self.profiles.get_mut(&run.service)
        {
            profile.record_first_event(model, waited, run.tokens_ahead, server.pace());
        }
    }

    /// Learns the time for an event from the stream of a call.
    pub fn record_events(&mut self, run: fleet::RunKey, event: time::Duration, now: time::Instant) {
        let weight = fleet::ViewWeight::at_age(self.view_age(now));
        let Some(run) = self.runs.get(run) else {
            return;
        };
        let server = self.servers.start_mut(&run.server, run.started_ms);
        if let (Some(server), Some(model)) = (server, &run.model)
            && let Some(profile) = self.profiles.get_mut(&run.service)
        {
            let used = server.total(weight);
            profile.record_events(model, event, server.pace(), used, server.record.slots);
        }
    }

    /// Gives back all that an attempt uses, as it has ended; has no effect if that was done before.
    pub fn finish(&mut self, run: fleet::RunKey, now: time::Instant) {
        let Some(run) = self.runs.remove(run) else {
            return;
        };
        if let Some(server) = self.servers.start_mut(&run.server, run.started_ms) {
            server.own.subtract(run.uses);
            server.claims.free();
        }
        if run.has_begun
            && let Some(profile) = self.profiles.get_mut(&run.service)
        {
            profile.record_duration(now.saturating_duration_since(run.placed_at));
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
            let closes_at = self.closes_at.unwrap_or(call.latest_start);
            let leaves_at = call.latest_start.min(closes_at);
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
    ) -> Result<fleet::CallPlacement, fleet::SelectionBlock> {
        let choice = self.selection(requirements, now).choose(requirements)?;
        let fleet::ServerChoice { server, basis } = choice;
        let known = self
            .servers
            .get_mut(&server)
            .ok_or(fleet::SelectionBlock::Slots)?;
        let uses = expected_use(&requirements.work);
        known.own.add(uses);
        known.claims.claim();
        let target = requirements.target.as_ref();
        let run = self.runs.insert(fleet::PlacedRun {
            server: server.clone(),
            started_ms: known.record.started_ms,
            service: requirements.service.clone(),
            model: target.map(|target| target.model.clone()),
            uses,
            tokens_ahead: basis.unread_tokens.saturating_add(uses.unread_tokens),
            found_slot: basis.running < known.record.slots,
            placed_at: now,
            has_begun: false,
        });
        let adapter = target.and_then(fleet::ModelTarget::held_adapter);
        let placement = fleet::CallPlacement {
            run,
            server: server.clone(),
            started_ms: known.record.started_ms,
            address: known.record.address,
            needs_adapter: adapter
                .as_ref()
                .is_some_and(|adapter| !known.adapters.contains(adapter)),
            basis,
        };
        if let Some(adapter) = adapter {
            self.used_adapters.insert((server, adapter));
        }
        if let Some(usage) = self.usage(requirements) {
            usage.running += 1;
        }
        Ok(placement)
    }

    fn selection(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> fleet::ServerSelection<'_> {
        fleet::ServerSelection {
            servers: &self.servers,
            profile: self.profiles.get(&requirements.service),
            data_centre: self.data_centre.as_ref(),
            view_number: self.view_number,
            view_age: self.view_age(now),
            now,
        }
    }

    fn rejection(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> fleet::CallRejection<'_> {
        fleet::CallRejection {
            servers: &self.servers,
            profile: self.profiles.get(&requirements.service),
            estimate: &self.estimate,
            instances: self.instances(),
            closes_at: self.closes_at,
            roster_complete_by: self.roster_complete_by,
            view_age: self.view_age(now),
            now,
        }
    }

    /// Returns the age of the newest view of other instances' calls.
    fn view_age(&self, now: time::Instant) -> Option<time::Duration> {
        self.view_at.map(|at| now.saturating_duration_since(at))
    }

    fn instances(&self) -> u32 {
        if self.followers == 0 {
            ASSUMED_FOLLOWERS
        } else {
            self.followers
        }
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

/// Why the last waiting call for a model was not placed.
struct KeyBlock<'a> {
    block: fleet::SelectionBlock,
    expected: fleet::ExpectedWait,
    work: &'a load::CallWork,
}

impl KeyBlock<'_> {
    /// Returns whether a later call for the same model cannot be placed either.
    fn stops(&self, next: &fleet::CallRequirements, now: time::Instant) -> bool {
        // A call whose objective leaves no more than half of its slack is tried again, so that shorter ones
        // that are held before it do not starve it.
        let is_held = self.block == fleet::SelectionBlock::Prompt;
        let holds_until = next.due_at.checked_sub(next.work.objective / 2);
        let may_be_held = holds_until.is_some_and(|until| now < until);
        self.block.blocks(self.work, &next.work) && (!is_held || may_be_held)
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
