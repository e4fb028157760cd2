//! Gossips announcements and cache events of backend servers to other instances.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_wire::message;
use rand::seq::IndexedRandom;

use crate::peer;
use crate::registry;
use crate::task;
use crate::timer;

/// The interval at which announcements are gossiped.
const GOSSIP_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The number of periods between two full batches, each sent to a random instance.
const FULL_BATCH_PERIODS: u64 = 5;

/// The number of periods between two batches that include the list of known instances.
const PEER_LIST_PERIODS: u64 = 50;

/// The timeout of sending a batch.
const GOSSIP_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Gossips announcements to other instances.
///
/// An announcement that a backend server sent to this instance goes to all other instances in the next
/// period. In addition, a random instance periodically receives a full batch of everything it may lack, so
/// that two instances whose connection is cut still learn of each other's announcements through a third.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncementGossiper {
    network: peer::PeerNetwork,
    registry: registry::ServerRegistry,
    events: registry::EventLog,
}

/// The positions up to which another instance has received announcements and events.
#[derive(Debug, Clone, Copy, Default)]
struct GossipCursor {
    direct: u64,
    full: u64,
    event: u64,
    busy: bool,
}

/// A batch to send, with the cursor that its delivery leads to.
struct PendingBatch {
    target: name::InstanceName,
    batch: message::GossipBatch,
    new_cursor: GossipCursor,
}

impl AnnouncementGossiper {
    /// Creates a gossiper.
    pub(crate) fn new(
        network: peer::PeerNetwork,
        registry: registry::ServerRegistry,
        events: registry::EventLog,
    ) -> Self {
        Self {
            network,
            registry,
            events,
        }
    }

    /// Starts gossiping, which runs until the task group stops.
    pub(crate) fn start(self, timer: &timer::TimerService, group: &task::TaskGroup) {
        let mut subscription = timer.subscribe(GOSSIP_PERIOD);
        let tasks = group.clone();
        group.spawn_until_stop(async move {
            let cursors = CursorTable::default();
            let mut period = 0;
            while let Some(now) = subscription.tick().await {
                period += 1;
                self.network.directory().forget_silent(now);
                self.registry.forget_silent(now);
                self.gossip(&cursors, period, now, &tasks);
            }
        });
    }

    fn gossip(
        &self,
        cursors: &CursorTable,
        period: u64,
        now: time::Instant,
        tasks: &task::TaskGroup,
    ) {
        let others = self.network.directory().others();
        let random_target = others
            .choose(&mut rand::rng())
            .filter(|_| period.is_multiple_of(FULL_BATCH_PERIODS))
            .map(|card| card.name.clone());
        let known = if period.is_multiple_of(PEER_LIST_PERIODS) {
            others.as_slice()
        } else {
            &[]
        };
        for card in &others {
            let full = random_target.as_ref() == Some(&card.name);
            let Some(pending) = self.prepare(cursors, &card.name, full, known, now) else {
                continue;
            };
            let gossiper = self.clone();
            let cursors = cursors.clone();
            tasks.spawn_until_stop(async move { gossiper.send(pending, cursors).await });
        }
    }

    fn prepare(
        &self,
        cursors: &CursorTable,
        target: &name::InstanceName,
        full: bool,
        known: &[message::InstanceProfile],
        now: time::Instant,
    ) -> Option<PendingBatch> {
        let cursor = cursors.begin(target)?;
        let sends_known = full && !known.is_empty();
        let since = if full { cursor.full } else { cursor.direct };
        let delta = self.registry.since(since, !full, now);
        let events = self.events.since(cursor.event);
        if delta.is_empty() && events.events.is_empty() && !sends_known {
            cursors.end(target, None);
            return None;
        }
        let new_cursor = GossipCursor {
            direct: delta.version,
            full: if full { delta.version } else { cursor.full },
            event: events.next,
            busy: false,
        };
        let batch = message::GossipBatch {
            card: self.network.directory().own().clone(),
            known: if sends_known {
                known.to_vec()
            } else {
                Vec::new()
            },
            announcements: delta.announcements,
            heartbeats: delta.heartbeats,
            notices: Vec::new(),
            events: events.events,
        };
        Some(PendingBatch {
            target: target.clone(),
            batch,
            new_cursor,
        })
    }

    async fn send(self, pending: PendingBatch, cursors: CursorTable) {
        let PendingBatch {
            target,
            batch,
            new_cursor,
        } = pending;
        let called = self
            .network
            .call(&target, GOSSIP_TIMEOUT, |client, context| async move {
                client.spread(context, batch).await
            })
            .await;
        match called {
            Ok(receipt) => {
                let now = time::Instant::now();
                self.network.directory().record_contact(&receipt.card, now);
                // An instance that lacks an announcement gets everything again from the beginning.
                let new_cursor = if receipt.missing.is_empty() {
                    new_cursor
                } else {
                    GossipCursor {
                        event: new_cursor.event,
                        ..GossipCursor::default()
                    }
                };
                cursors.end(&target, Some(new_cursor));
            }
            Err(_) => cursors.end(&target, None),
        }
    }
}

/// The gossip cursors of all other instances.
#[derive(Debug, Clone, Default)]
struct CursorTable {
    cursors:
        std::sync::Arc<std::sync::Mutex<collections::HashMap<name::InstanceName, GossipCursor>>>,
}

impl CursorTable {
    /// Begins a batch and returns the cursor; `None` if a batch is in progress.
    fn begin(&self, target: &name::InstanceName) -> Option<GossipCursor> {
        let mut cursors = self.lock();
        let cursor = cursors.entry(target.clone()).or_default();
        if cursor.busy {
            return None;
        }
        cursor.busy = true;
        Some(*cursor)
    }

    /// Ends a batch; `new_cursor` is `None` if the batch was not delivered.
    fn end(&self, target: &name::InstanceName, new_cursor: Option<GossipCursor>) {
        let mut cursors = self.lock();
        let cursor = cursors.entry(target.clone()).or_default();
        cursor.busy = false;
        if let Some(new_cursor) = new_cursor {
            *cursor = new_cursor;
        }
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, collections::HashMap<name::InstanceName, GossipCursor>> {
        self.cursors
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
