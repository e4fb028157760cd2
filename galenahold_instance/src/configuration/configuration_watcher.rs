//! Long-polls the configuration from the leader or from a relay.

use std::time;

use galenahold_domain::name;
use galenahold_wire::message;
use log::{debug, info, warn};
use rand::RngExt;

use crate::configuration;
use crate::peer;
use crate::task;
use crate::timer;

/// The time that a watch call may take beyond the hold time.
const WATCH_MARGIN: time::Duration = time::Duration::from_millis(600);

/// The maximum pause after a failed watch call.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(150);

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
    rotation: usize,
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
            rotation: rand::rng().random_range(0..64),
            members_mark: 0,
        }
    }

    /// Starts the watch loop, which runs until the task group stops.
    pub(crate) fn start(mut self, group: &task::TaskGroup) {
        group.spawn_until_stop(async move {
            loop {
                if !self.watch_once().await {
                    self.rotation += 1;
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
        let sent_at = timer::BootInstant::now();
        let interruptible = !request.in_hurry;
        let outcome = tokio::select! {
            reply = self.call_source(request) => reply.map_or(WatchOutcome::Failed, WatchOutcome::Answered),
            () = self.sink.wait_until_urgent(), if interruptible => WatchOutcome::Interrupted,
        };
        match outcome {
            WatchOutcome::Answered(reply) => self.handle_reply(reply, sent_at),
            WatchOutcome::Failed => false,
            WatchOutcome::Interrupted => true,
        }
    }

    async fn call_source(&self, request: message::WatchRequest) -> Option<message::WatchReply> {
        let limit = self.hold + WATCH_MARGIN;
        if matches!(self.sources, WatchSources::Leader) && self.handler.is_leader() {
            let watching = self.handler.watch(request);
            return tokio::time::timeout(limit, watching).await.ok();
        }
        let source = self.source()?;
        let asks_leader = self.client.leader().as_ref() == Some(&source);
        let watching = self
            .network
            .call(&source, limit, |client, context| async move {
                client.watch(context, request).await
            });
        let watched = tokio::select! {
            watched = watching => watched,
            // Another leader became known, so the old one may not reply for a long time. A member that is
            // asked in place of the leader replies for as long as it is reachable.
            () = self.client.leader_changed(&source), if asks_leader => return None,
        };
        watched
            .inspect_err(|error| {
                debug!(source:% = source, error:% = error; "watch failed");
                self.client.avoid_leader(&source);
            })
            .ok()
    }

    fn source(&self) -> Option<name::InstanceName> {
        let own = &self.network.directory().own().name;
        match &self.sources {
            WatchSources::Leader => {
                let leader = self.client.leader().filter(|leader| leader != own);
                leader.or_else(|| pick_other(&self.client.members(), own, self.rotation))
            }
            WatchSources::Relays(relays) => pick_other(relays, own, self.rotation),
        }
    }

    fn handle_reply(&mut self, reply: message::WatchReply, sent_at: timer::BootInstant) -> bool {
        match reply {
            message::WatchReply::Unavailable { leader } => {
                self.client.set_leader(leader);
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
            } => {
                self.client.learn_leader(leader);
                if !members.is_empty() {
                    self.members_mark = members_mark;
                    self.client
                        .learn_members(members.iter().map(|member| member.name.clone()));
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

fn pick_other(
    names: &[name::InstanceName],
    own: &name::InstanceName,
    rotation: usize,
) -> Option<name::InstanceName> {
    let others: Vec<_> = names.iter().filter(|name| *name != own).collect();
    if others.is_empty() {
        return None;
    }
    Some(others[rotation % others.len()].clone())
}
