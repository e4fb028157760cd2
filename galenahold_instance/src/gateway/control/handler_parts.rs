//! Shared state of a control group member's handlers.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control as domain;
use galenahold_domain::declaration;
use galenahold_domain::fleet;
use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_placement::fleet as placement;
use galenahold_routing::load;
use galenahold_routing::rate;
use galenahold_wire::message;
use log::{info, warn};
use tokio::sync as tokio_sync;

use crate::control as group;
use crate::gateway;
use crate::gateway::control;
use crate::timer;

/// How long an instance counts as a follower after its last watch request.
const FOLLOWER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long to wait before an adapter may be requested again after an engine did not accept its
/// order.
const ORDER_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Maximum time to commit a departure: a backend server waits a second for the answer to its notice.
const DEPARTURE_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// How far a backend server's clock may be ahead of the leader's, in milliseconds. A notice with a later
/// start would keep out all notices of the server itself.
const MAX_CLOCK_LEAD_MS: u64 = 3_600_000;

/// How long roster changes are batched before followers are notified.
const ROSTER_BATCH_TIME: time::Duration = time::Duration::from_millis(10);

/// How long roster changes are held back from a follower at which no request waits: a fraction of
/// the time for which a draining server still accepts requests.
const ROSTER_UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Shared state of a control group member's handlers.
pub(crate) struct HandlerParts<Dialect> {
    /// This member of the control group.
    pub(crate) member: sync::Arc<group::ControlGroup>,
    /// Grants tokens to instances.
    pub(crate) grants: group::GrantHandler,
    /// The active declaration.
    pub(crate) declarations: gateway::DeclarationCache<Dialect>,
    /// Sends orders to engines.
    pub(crate) orders: control::OrderSender<Dialect>,
    /// Wakes the placement loop.
    pub(crate) replan: tokio_sync::Notify,
    /// Time between two notices of a backend server.
    pub(crate) notice_period: time::Duration,
    /// How long a new leader sends no orders.
    pub(crate) order_pause: time::Duration,
    /// The state of the current term while this member leads.
    pub(crate) leadership: sync::Mutex<Option<control::FleetLeadership>>,
    /// Notifies watchers of roster changes.
    pub(crate) roster_changes: tokio_sync::watch::Sender<()>,
    /// Publishes the current leader, as far as this member knows.
    pub(crate) leader_changes: tokio_sync::watch::Sender<Option<name::InstanceName>>,
    /// Instances that follow the roster, with the time of their last watch request.
    pub(crate) followers: sync::Mutex<collections::HashMap<name::InstanceName, time::Instant>>,
}

impl<Dialect> std::fmt::Debug for HandlerParts<Dialect> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("HandlerParts")
            .finish_non_exhaustive()
    }
}

impl<Dialect: gateway::FleetDialect> HandlerParts<Dialect> {
    /// Runs `act` on the state of the current term; returns `None` if this member does not lead.
    pub(crate) fn if_leading<Output>(
        &self,
        act: impl FnOnce(&mut control::FleetLeadership) -> Output,
    ) -> Option<Output> {
        let term = self.member.leading_term()?;
        let mut slot = self
            .leadership
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let current = slot.take().filter(|leadership| leadership.term == term);
        let leadership = slot.insert(current.unwrap_or_else(|| self.new_leadership(term)));
        Some(act(leadership))
    }

    /// Returns the active declaration according to this member's replicated state.
    pub(crate) fn declaration(&self) -> Option<sync::Arc<declaration::DeclarationIndex>> {
        let view = self.member.state().read(domain::ControlState::view);
        self.declarations
            .refresh(&view)
            .or_else(|| self.declarations.index())
    }

    /// Records a backend server's notice. If the server drains, the notice is confirmed only once
    /// the control group has committed the departure.
    ///
    /// # Errors
    ///
    /// This member does not lead, the departure was not committed in time, or the server claims to
    /// have started in the future.
    pub(crate) async fn record_notice(
        &self,
        notice: fleet::ServerNotice,
    ) -> Result<(), control::NoticeRefusal> {
        if notice.started_ms > timer::epoch_ms().saturating_add(MAX_CLOCK_LEAD_MS) {
            return Err(control::NoticeRefusal::StartInFuture);
        }
        let departure = notice.departure();
        self.apply_notice(notice)
            .ok_or(control::NoticeRefusal::NotLeading)?;
        match departure {
            Some(departure) => self.commit_departure(departure).await,
            None => Ok(()),
        }
    }

    /// Removes a backend server that leaves, and confirms it once the control group has committed
    /// the departure.
    ///
    /// # Errors
    ///
    /// This member does not lead, or the departure was not committed in time.
    pub(crate) async fn record_leave(
        &self,
        server: &name::ServerName,
    ) -> Result<(), control::NoticeRefusal> {
        let now = time::Instant::now();
        let departure = self
            .if_leading(|leadership| leadership.roster.leave(server, timer::epoch_ms(), now))
            .ok_or(control::NoticeRefusal::NotLeading)?;
        self.commit_departure(departure).await
    }

    /// Records a departure that a backend server announced to an entry instance in an answer.
    async fn record_departure(
        &self,
        departure: fleet::ServerDeparture,
    ) -> Result<(), control::NoticeRefusal> {
        let now = time::Instant::now();
        self.if_leading(|leadership| leadership.roster.depart(departure.clone(), now))
            .ok_or(control::NoticeRefusal::NotLeading)?;
        self.commit_departure(departure).await
    }

    /// Applies a notice to the roster; returns `None` if this member does not lead.
    fn apply_notice(&self, notice: fleet::ServerNotice) -> Option<()> {
        let now = time::Instant::now();
        let server = notice.name.clone();
        let stage = notice.stage;
        let on_disk = notice.copies.on_disk_count();
        let models: Vec<_> = notice
            .models
            .iter()
            .map(|held| held.name.to_string())
            .collect();
        let outcome = self.if_leading(|leadership| {
            let started_ms = notice.started_ms;
            let adapters = notice.adapters.clone();
            let outcome = leadership.roster.take(notice, now);
            if outcome != fleet::NoticeOutcome::Late {
                leadership
                    .planner
                    .record_adapters(&server, started_ms, &adapters, now);
            }
            outcome
        })?;
        if matches!(
            outcome,
            fleet::NoticeOutcome::Joined | fleet::NoticeOutcome::Changed
        ) {
            info!(server:% = server, outcome:? = outcome, stage:? = stage, on_disk = on_disk, models = models.join(",").as_str(); "backend server reported its state");
            self.notify_roster_change();
        }
        Some(())
    }

    /// Notifies followers of a departure and commits it, unless it is committed already.
    ///
    /// A departure that only the leader knows would be lost with it, and the next leader's followers
    /// would use the server again.
    async fn commit_departure(
        &self,
        departure: fleet::ServerDeparture,
    ) -> Result<(), control::NoticeRefusal> {
        let state = self.member.state();
        if state.read(|state| state.departures().holds(&departure)) {
            return Ok(());
        }
        self.notify_roster_change();
        let started = time::Instant::now();
        let command = domain::ControlCommand::Depart {
            departure: departure.clone(),
            now_ms: timer::epoch_ms(),
        };
        let committing = self.member.command(&command);
        let committed = tokio::time::timeout(DEPARTURE_TIMEOUT, committing).await;
        let committed = matches!(committed, Ok(Ok(_)));
        let took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if committed {
            info!(server:% = departure.name, stage:? = departure.stage, started_ms = departure.started_ms, took_ms = took_ms; "departure of a backend server committed");
            return Ok(());
        }
        warn!(server:% = departure.name, stage:? = departure.stage, took_ms = took_ms; "departure of a backend server is not acknowledged: it was not committed in time");
        Err(control::NoticeRefusal::NotCommitted)
    }

    /// Notifies followers and the placement loop of a roster change.
    pub(crate) fn notify_roster_change(&self) {
        self.roster_changes.send_replace(());
        self.replan.notify_one();
    }

    /// Grants tokens for the given term.
    pub(crate) fn grant(&self, term: u64, call: &rate::GrantCall) -> message::ControlReply {
        let (revision, teams) = self.teams();
        let teams = group::ActiveTeams {
            revision,
            teams: &teams,
        };
        let reply = self.grants.grant(term, teams, call);
        // Tokens granted after the leader's lease has expired could be granted again by the next
        // leader.
        if self.member.leading_term() != Some(term) {
            return message::ControlReply::not_leader(self.member.leader_hint());
        }
        message::ControlReply::Grant(reply)
    }

    /// Returns the teams with a rate limit, and the revision of their declaration.
    fn teams(&self) -> (amount::RevisionNumber, Vec<intent::TeamIntent>) {
        let Some(index) = self.declaration() else {
            return (amount::RevisionNumber::ZERO, Vec::new());
        };
        let declaration = index.declaration();
        let limited = declaration.teams.iter().filter(|team| team.is_limited());
        let teams = limited.map(declaration::DeclaredTeam::rate_intent);
        (amount::RevisionNumber(declaration.number), teams.collect())
    }

    /// Answers a call about demand or adapters.
    pub(crate) async fn answer_fleet(&self, call: message::FleetCall) -> message::FleetReply {
        match call {
            message::FleetCall::Departed(departure) => {
                match self.record_departure(departure).await {
                    Ok(()) => message::FleetReply::Taken,
                    Err(_) => message::FleetReply::NotRecorded,
                }
            }
            message::FleetCall::Demand(demand) => {
                self.apply_demand(demand);
                message::FleetReply::Taken
            }
            message::FleetCall::Adapter { server, adapter } => {
                self.answer_adapter(&server, &adapter).await
            }
        }
    }

    /// Waits until there is an update for the requester or its hold time is over, and returns the
    /// reply.
    pub(crate) async fn watch(&self, request: &message::WatchRequest) -> message::WatchReply {
        let started = time::Instant::now();
        let hold = time::Duration::from_millis(request.hold_ms);
        let mut applied = self.member.state().subscribe();
        let mut roster_changes = self.roster_changes.subscribe();
        loop {
            applied.mark_unchanged();
            roster_changes.mark_unchanged();
            let waited = started.elapsed();
            let left = hold.saturating_sub(waited);
            let is_current = self.member.state().read(|state| {
                state.revision() == request.have
                    && state.crashes().version() == request.suspect_version
            });
            let wait_time = self
                .update_delay(request, waited)
                .map_or(left, |delay| delay.min(left));
            if !is_current || wait_time.is_zero() || !self.member.is_leader() {
                return self.watch_reply(request, started);
            }
            tokio::select! {
                _ = applied.changed() => {}
                _ = roster_changes.changed() => tokio::time::sleep(ROSTER_BATCH_TIME).await,
                () = tokio::time::sleep(wait_time) => {}
            }
        }
    }

    /// Returns after what time a held request is to be looked at again, zero if it ends now; `None` if there is
    /// nothing to send.
    fn update_delay(
        &self,
        request: &message::WatchRequest,
        waited: time::Duration,
    ) -> Option<time::Duration> {
        let cursor = request.roster?;
        let urgent = request.in_hurry;
        let now = time::Instant::now();
        let throttle = fleet::RosterThrottle::new(ROSTER_UPDATE_INTERVAL);
        let (roster_delay, load_delay) = self.if_leading(|leadership| {
            let own = leadership.roster.cursor(now);
            let load_delay = request.load_version.map(|have| {
                leadership.sum_up_loads(now);
                leadership.loads.wake_delay(have, urgent, waited, now)
            });
            (throttle.delay(cursor, own, urgent, waited), load_delay)
        })?;
        roster_delay.into_iter().chain(load_delay).min()
    }

    /// Returns the changed loads for the requester.
    fn load_update(
        &self,
        request: &message::WatchRequest,
        now: time::Instant,
    ) -> Option<Box<load::LoadUpdate>> {
        let have = request.load_version?;
        let update = self.if_leading(|leadership| {
            leadership.sum_up_loads(now);
            leadership.loads.update_since(have, request.in_hurry, now)
        })?;
        update.map(Box::new)
    }

    /// Returns the update for the requester, confirmed by this member's leader lease.
    fn watch_reply(
        &self,
        request: &message::WatchRequest,
        started: time::Instant,
    ) -> message::WatchReply {
        // The lease confirms this read only if it is still valid afterwards.
        let held = started.elapsed();
        let now = time::Instant::now();
        let followers = self.count_followers(request, now);
        let roster = request
            .roster
            .and_then(|cursor| self.if_leading(|state| state.roster.update_since(cursor, now))?)
            .map(Box::new);
        let loads = self.load_update(request, now);
        let mut members = self.members();
        let members_mark = hash_members(&members);
        let hint = self.member.leader_hint();
        // Members of the control group always need the list of members to detect their removal;
        // others need it only when it has changed.
        if request.roster.is_some() && request.members_mark == members_mark {
            members.clear();
        }
        let reply = self
            .member
            .state()
            .read(|state| message::WatchReply::Current {
                age_ms: 0,
                held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
                revision: state.revision(),
                update: group::update_since(state, request),
                drains: None,
                suspects: group::suspect_list(state, request.suspect_version),
                roster,
                loads,
                followers,
                members,
                members_mark,
                leader: hint.name.clone(),
                term: hint.term,
            });
        if self.member.is_leader() {
            return reply;
        }
        message::WatchReply::unavailable(hint)
    }

    fn members(&self) -> Vec<message::ControlMember> {
        let status = self.member.handle().status();
        let members = status.members.iter();
        members
            .map(|report| {
                let profile = &report.member.profile;
                message::ControlMember {
                    name: name::InstanceName::from(profile.endpoint.name.as_str()),
                    folder: profile.id.to_string(),
                    absent: report.is_absent(),
                }
            })
            .collect()
    }

    fn count_followers(&self, request: &message::WatchRequest, now: time::Instant) -> u32 {
        let mut followers = self
            .followers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if request.roster.is_some() {
            followers.insert(request.card.name.clone(), now);
        }
        followers.retain(|_, asked_at| now.saturating_duration_since(*asked_at) < FOLLOWER_TIMEOUT);
        u32::try_from(followers.len()).unwrap_or(u32::MAX)
    }

    fn apply_demand(&self, demand: message::ModelDemand) {
        let now = time::Instant::now();
        let urgent = demand.models.iter().any(|count| count.waiting > 0);
        self.if_leading(|leadership| {
            leadership
                .loads
                .record(&demand.instance, &demand.servers, now);
            for count in demand.models {
                let counts = placement::DemandCounts {
                    arrivals: count.arrivals,
                    waiting: count.waiting,
                    running: count.running,
                    waiting_calls: count.waiting_calls.into_iter().map(waiting_call).collect(),
                };
                let key = (count.service, count.model);
                leadership
                    .planner
                    .record_demand(&demand.instance, key, counts, now);
            }
            for used in &demand.adapters {
                leadership
                    .planner
                    .record_adapter_use(&used.server, &used.adapter, now);
            }
        });
        if urgent {
            self.replan.notify_one();
        }
    }

    async fn answer_adapter(
        &self,
        server: &name::ServerName,
        adapter: &fleet::HeldAdapter,
    ) -> message::FleetReply {
        let Some(index) = self.declaration() else {
            return adapter_refused("no configuration was declared", None);
        };
        let now = time::Instant::now();
        let decided = self.if_leading(|leadership| {
            if now < leadership.orders_start_at {
                let remaining = leadership.orders_start_at - now;
                return Err(("the new leader sends no orders yet", Some(remaining)));
            }
            let record = leadership.roster.get(server).cloned();
            let record = record.ok_or(("the engine is unknown", None))?;
            if !record.is_open() {
                return Err(("the engine takes no new requests", None));
            }
            let service = index.service(&record.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            let engine = engine.ok_or(("the server's service has no engines", None))?;
            let decision = leadership
                .planner
                .request_adapter(&record, engine, adapter, now);
            Ok((leadership.term, decision))
        });
        let Some(decided) = decided else {
            return adapter_refused("this member no longer leads", Some(ORDER_RETRY_DELAY));
        };
        match decided {
            Err((reason, retry_in))
            | Ok((_, placement::AdapterDecision::Refused { reason, retry_in })) => {
                adapter_refused(reason, retry_in)
            }
            Ok((_, placement::AdapterDecision::Available { ready_in })) => adapter_comes(ready_in),
            Ok((term, placement::AdapterDecision::Order { orders, ready_in })) => {
                self.order_adapter(term, orders, ready_in).await
            }
        }
    }

    /// Sends the orders that load an adapter; after one fails, the rest are not sent.
    async fn order_adapter(
        &self,
        term: u64,
        orders: Vec<placement::EngineOrder>,
        ready_in: time::Duration,
    ) -> message::FleetReply {
        let mut failed = None;
        for order in orders {
            let receipt = match failed {
                Some(_) => {
                    let unsent = placement::OrderReceipt::NotSent;
                    self.settle_order(&order, unsent, amount::ByteCount(0));
                    unsent
                }
                None => self.execute_order(term, &order, amount::ByteCount(0)).await,
            };
            if !order.action.is_completed_by(receipt) {
                failed.get_or_insert(receipt);
            }
        }
        match failed {
            None => adapter_comes(ready_in),
            Some(receipt) => {
                let reason = format!("the order to the engine failed: {receipt:?}");
                adapter_refused(&reason, Some(ORDER_RETRY_DELAY))
            }
        }
    }

    /// Sends an order to its engine and records its outcome.
    pub(crate) async fn execute_order(
        &self,
        term: u64,
        order: &placement::EngineOrder,
        bytes: amount::ByteCount,
    ) -> placement::OrderReceipt {
        let sent = self.orders.send(term, order).await;
        if let Some(report) = &sent.report {
            let now = time::Instant::now();
            self.if_leading(|leadership| {
                leadership.planner.record_adapters(
                    &order.server,
                    order.started_ms,
                    &report.adapters,
                    now,
                );
            });
        }
        self.settle_order(order, sent.receipt, bytes);
        sent.receipt
    }

    fn settle_order(
        &self,
        order: &placement::EngineOrder,
        receipt: placement::OrderReceipt,
        bytes: amount::ByteCount,
    ) {
        let now = time::Instant::now();
        self.if_leading(|leadership| leadership.planner.apply_receipt(order, receipt, bytes, now));
    }

    fn new_leadership(&self, term: u64) -> control::FleetLeadership {
        let now = time::Instant::now();
        info!(term = term; "started to lead the declared fleet");
        // Rates refill from the start of the term, not from the first request after it.
        let (revision, teams) = self.teams();
        let teams = group::ActiveTeams {
            revision,
            teams: &teams,
        };
        self.grants.begin(term, teams);
        let mut roster = fleet::ServerRoster::new(term, self.notice_period, now);
        self.member
            .state()
            .read(|state| roster.adopt(state.departures().departures(), now));
        control::FleetLeadership {
            term,
            roster,
            loads: load::FleetLoadTable::new(term, now),
            paces_logged_at: now,
            planner: placement::FleetPlanner::default(),
            orders_start_at: now + self.order_pause,
        }
    }
}

/// Returns a hash by which followers detect a changed list of members.
fn hash_members(members: &[message::ControlMember]) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    members.hash(&mut hasher);
    hasher.finish()
}

fn adapter_comes(ready_in: time::Duration) -> message::FleetReply {
    message::FleetReply::AdapterComes {
        ready_in_ms: u64::try_from(ready_in.as_millis()).unwrap_or(u64::MAX),
    }
}

fn adapter_refused(reason: &str, retry_in: Option<time::Duration>) -> message::FleetReply {
    message::FleetReply::AdapterRefused {
        reason: reason.to_owned(),
        retry_in_ms: retry_in
            .map(|remaining| u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)),
    }
}

fn waiting_call(call: message::WaitingCall) -> placement::WaitingCall {
    placement::WaitingCall {
        due_in: time::Duration::from_millis(u64::from(call.due_ms)),
        leaves_in: time::Duration::from_millis(u64::from(call.leaves_ms)),
    }
}
