//! Keeps the configuration fresh.

use std::time;

use galenahold_domain::name;
use galenahold_wire::message;
use log::{debug, info, warn};
use rand::RngExt;

use crate::configuration;
use crate::peer;
use crate::task;
use crate::timer;

/// How much longer than the hold time a wait may take.
const WATCH_MARGIN: time::Duration = time::Duration::from_millis(600);

/// The longest pause after a failed wait.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(150);

/// The instances that the configuration is taken from.
#[derive(Debug, Clone)]
pub(crate) enum WatchSources {
    /// The control group's leader.
    Leader,
    /// Named instances that pass it on; the first that answers is kept.
    Relays(Vec<name::InstanceName>),
}

/// Keeps the configuration fresh by waiting, again and again, at one source.
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
    /// The mark of the list of members that was taken last.
    members_mark: u64,
}

/// What came of a wait.
enum WatchOutcome {
    Answered(message::WatchReply),
    Failed,
    /// A request began to wait for a backend server meanwhile.
    Interrupted,
}

impl<Handler: peer::LocalHandler, Sink: configuration::RosterSink>
    ConfigurationWatcher<Handler, Sink>
{
    /// Creates a watcher whose waits without news may be held back for `hold`.
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

    /// Watches until the group stops.
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

    /// Waits once; returns whether the source is good.
    async fn watch_once(&mut self) -> bool {
        let request = message::WatchRequest {
            card: self.network.directory().own().clone(),
            have: self.cache.index().revision(),
            age_ms: self
                .cache
                .age()
                .map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            drain_version: self.cache.drains().version,
            roster: self.sink.cursor(),
            leader_known: None,
            in_hurry: self.sink.is_urgent(),
            members_mark: self.members_mark,
            hold_ms: u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX),
        };
        let sent_at = timer::BootInstant::now();
        let interruptible = !request.in_hurry;
        let end = tokio::select! {
            reply = self.ask(request) => reply.map_or(WatchOutcome::Failed, WatchOutcome::Answered),
            () = self.sink.wait_until_urgent(), if interruptible => WatchOutcome::Interrupted,
        };
        match end {
            WatchOutcome::Answered(reply) => self.handle_reply(reply, sent_at),
            WatchOutcome::Failed => false,
            WatchOutcome::Interrupted => true,
        }
    }

    async fn ask(&self, request: message::WatchRequest) -> Option<message::WatchReply> {
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
            // Another leader was heard of: what this one still says may be long in coming. A member that is
            // asked in the leader's place answers as long as it can be reached.
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
                leader.or_else(|| pick(&self.client.members(), own, self.rotation))
            }
            WatchSources::Relays(relays) => pick(relays, own, self.rotation),
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
                roster,
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
                let confirmed = configuration::ConfirmedUpdate {
                    confirmed_at: confirmed_at(sent_at, held_ms, age_ms),
                    revision,
                    update,
                    drains,
                };
                self.apply_update(confirmed)
            }
        }
    }

    fn apply_update(&self, confirmed: configuration::ConfirmedUpdate) -> bool {
        let before = self.cache.index().revision();
        match self.cache.take(confirmed) {
            Ok(()) => {
                let revision = self.cache.index().revision();
                if revision != before {
                    info!(revision:% = revision; "configuration in force");
                }
                true
            }
            Err(error) => {
                warn!(error:% = error; "update of the configuration refused");
                false
            }
        }
    }
}

/// Returns the latest moment at which the answer's configuration was surely confirmed.
///
/// The answer was made no earlier than `held_ms` after the request was sent; how long it travelled
/// is unknown, so the earliest such moment counts.
fn confirmed_at(sent_at: timer::BootInstant, held_ms: u64, age_ms: u64) -> timer::BootInstant {
    let made_at = sent_at.after(time::Duration::from_millis(held_ms));
    made_at
        .before(time::Duration::from_millis(age_ms))
        .min(timer::BootInstant::now())
}

fn pick(
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
