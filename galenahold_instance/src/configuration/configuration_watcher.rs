//! Long-polls the configuration from the leader or from a relay.

use std::time;

use futures::future;
use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;
use log::{info, warn};
use rand::RngExt;

use crate::configuration;
use crate::peer;
use crate::task;
use crate::timer;

/// The time that a watch call may take beyond the hold time.
const WATCH_MARGIN: time::Duration = time::Duration::from_millis(600);

/// The maximum pause after a failed watch call.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Number of failed watch calls in a row that are logged.
const LOGGED_FAILURES: usize = 8;

/// The instances from which the configuration is watched.
#[derive(Debug, Clone)]
pub(crate) enum WatchSources {
    /// The control group's leader.
    Leader,
    /// Named instances that relay the configuration; the watcher stays with the first that answers.
    Relays(Vec<name::InstanceName>),
}

/// Keeps the configuration cache fresh by repeated long polls of one source.
#[derive(Debug)]
pub(crate) struct ConfigurationWatcher<Handler, Sink> {
    cache: configuration::ConfigurationCache,
    network: peer::PeerNetwork,
    client: peer::ControlClient<Handler>,
    handler: Handler,
    sources: WatchSources,
    sink: Sink,
    hold: time::Duration,
    search: leader::LeaderSearch,
    /// Position of the relay that is asked.
    relay: usize,
    /// Number of failed watch calls since the last answer.
    failures: usize,
    /// The version of the last received list of control members.
    members_mark: u64,
}

/// The outcome of one watch call.
enum WatchOutcome {
    Answered(message::WatchReply),
    Failed,
    /// The roster became urgent during the call, because a request began to wait for a backend server.
    Interrupted,
}

impl<Handler: peer::LocalHandler, Sink: configuration::RosterSink>
    ConfigurationWatcher<Handler, Sink>
{
    /// Creates a watcher whose source may hold a call without changes for up to `hold`.
    pub(crate) fn new(
        cache: configuration::ConfigurationCache,
        network: peer::PeerNetwork,
        client: peer::ControlClient<Handler>,
        handler: Handler,
        sources: WatchSources,
        sink: Sink,
        hold: time::Duration,
    ) -> Self {
        Self {
            cache,
            network,
            client,
            handler,
            sources,
            sink,
            hold,
            search: leader::LeaderSearch::new(rand::rng().random_range(0..64)),
            relay: rand::rng().random_range(0..64),
            failures: 0,
            members_mark: 0,
        }
    }

    /// Starts the watch loop, which runs until the task group stops.
    pub(crate) fn start(mut self, group: &task::TaskGroup) {
        group.spawn_until_stop(async move {
            loop {
                if !self.watch_once().await {
                    self.relay += 1;
                    let pause = MAX_PAUSE.mul_f64(rand::rng().random_range(0.1..1.0));
                    tokio::time::sleep(pause).await;
                }
            }
        });
    }

    /// Makes one watch call; returns whether to stay with the source.
    async fn watch_once(&mut self) -> bool {
        let request = message::WatchRequest {
            card: self.network.directory().own().clone(),
            have: self.cache.index().revision(),
            age_ms: self
                .cache
                .age()
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            drain_version: self.cache.drains().version,
            suspect_version: self.cache.suspects().version,
            roster: self.sink.cursor(),
            load_version: self.sink.load_version(),
            leader_known: None,
            in_hurry: self.sink.is_urgent(),
            members_mark: self.members_mark,
            hold_ms: u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX),
        };
        let target = self.next_target();
        let sent_at = timer::BootInstant::now();
        let interruptible = !request.in_hurry;
        let outcome = tokio::select! {
            reply = self.call_target(target.as_ref(), request) => reply.map_or(WatchOutcome::Failed, WatchOutcome::Answered),
            () = self.sink.wait_until_urgent(), if interruptible => WatchOutcome::Interrupted,
        };
        match outcome {
            WatchOutcome::Answered(reply) => {
                self.failures = 0;
                let is_served = matches!(reply, message::WatchReply::Current { .. });
                self.search.record_result(is_served);
                if let Some(leader::SearchTarget::Leader(leader)) = &target
                    && is_served
                {
                    self.client.record_reached(leader);
                }
                self.handle_reply(reply, sent_at)
            }
            WatchOutcome::Failed => {
                self.failures += 1;
                self.search.record_result(false);
                false
            }
            WatchOutcome::Interrupted => true,
        }
    }

    /// Returns whom to ask next; `None` if this instance leads.
    fn next_target(&mut self) -> Option<leader::SearchTarget> {
        if let WatchSources::Relays(relays) = &self.sources {
            let own = &self.network.directory().own().name;
            let relays: Vec<_> = relays.iter().filter(|name| *name != own).collect();
            let relay = relays.get(self.relay % relays.len().max(1));
            let relay = relay.map(|name| (*name).clone());
            return Some(leader::SearchTarget::Members(relay.into_iter().collect()));
        }
        if self.handler.is_leader() {
            return None;
        }
        Some(self.client.next_target(&mut self.search))
    }

    async fn call_target(
        &self,
        target: Option<&leader::SearchTarget>,
        request: message::WatchRequest,
    ) -> Option<message::WatchReply> {
        let limit = self.hold + WATCH_MARGIN;
        match target {
            None => {
                let watching = self.handler.watch(request);
                tokio::time::timeout(limit, watching).await.ok()
            }
            Some(leader::SearchTarget::Leader(leader)) => {
                tokio::select! {
                    reply = self.watch_source(leader, request, limit) => reply,
                    // Another leader became known, so the old one may not reply for a long time.
                    () = self.client.leader_changed(leader) => None,
                }
            }
            Some(leader::SearchTarget::Members(names)) => {
                let calls = names.iter().map(|name| {
                    let watching = self.watch_source(name, request.clone(), limit);
                    Box::pin(async move { watching.await.ok_or(()) })
                });
                let calls: Vec<_> = calls.collect();
                if calls.is_empty() {
                    return None;
                }
                let (reply, _) = future::select_ok(calls).await.ok()?;
                Some(reply)
            }
        }
    }

    async fn watch_source(
        &self,
        source: &name::InstanceName,
        request: message::WatchRequest,
        limit: time::Duration,
    ) -> Option<message::WatchReply> {
        let watching = self
            .network
            .call(source, limit, |client, context| async move {
                client.watch(context, request).await
            });
        let watched = watching.await.inspect_err(|error| {
            if self.failures < LOGGED_FAILURES {
                info!(source:% = source, error:% = error; "watch failed");
            }
            self.client.record_failure(source, limit, *error);
        });
        watched.ok()
    }

    fn handle_reply(&mut self, reply: message::WatchReply, sent_at: timer::BootInstant) -> bool {
        match reply {
            message::WatchReply::Unavailable { leader, term } => {
                let hint = leader::LeaderHint { name: leader, term };
                self.client.set_leader(hint);
                false
            }
            message::WatchReply::Current {
                age_ms,
                held_ms,
                revision,
                update,
                drains,
                suspects,
                roster,
                loads,
                followers,
                members,
                members_mark,
                leader,
                term,
            } => {
                if leader.is_some() {
                    let hint = leader::LeaderHint { name: leader, term };
                    self.client.set_leader(hint);
                }
                if !members.is_empty() {
                    self.members_mark = members_mark;
                    let present = members.iter().filter(|member| !member.absent);
                    self.client
                        .learn_members(present.map(|member| member.name.clone()));
                    self.sink.take_members(&members);
                }
                self.sink.take(roster.map(|update| *update), followers);
                if let Some(update) = loads {
                    self.sink.take_loads(&update);
                }
                let confirmed = configuration::ConfirmedUpdate {
                    confirmed_at: confirmed_at(sent_at, held_ms, age_ms),
                    revision,
                    update,
                    drains: drains.map(|drains| *drains),
                    suspects: suspects.map(|suspects| *suspects),
                };
                self.apply_update(confirmed)
            }
        }
    }

    fn apply_update(&self, confirmed: configuration::ConfirmedUpdate) -> bool {
        let before = self.cache.index().revision();
        match self.cache.apply(confirmed) {
            Ok(()) => {
                let revision = self.cache.index().revision();
                if revision != before {
                    info!(revision:% = revision; "configuration in force");
                }
                true
            }
            Err(error) => {
                warn!(error:% = error; "configuration update refused");
                false
            }
        }
    }
}

/// Returns the latest time at which the configuration in a reply is certain to have been confirmed.
///
/// The reply was made no earlier than `held_ms` after the request was sent. Its network delay is
/// unknown, so the earliest possible time counts.
fn confirmed_at(sent_at: timer::BootInstant, held_ms: u64, age_ms: u64) -> timer::BootInstant {
    let made_at = sent_at.after(time::Duration::from_millis(held_ms));
    made_at
        .before(time::Duration::from_millis(age_ms))
        .min(timer::BootInstant::now())
}
