//! Stores the latest announcements and notices of backend servers.

use std::collections;
use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_domain::server;
use galenahold_wire::message;
use tokio::sync::watch;

use crate::registry;

/// How long a silent backend server is kept, so that an older incarnation cannot reappear as a new server.
const FORGET_AFTER: time::Duration = time::Duration::from_mins(10);

/// The registry of known backend servers with their latest announcements.
#[derive(Debug, Clone)]
pub(crate) struct ServerRegistry {
    table: sync::Arc<sync::Mutex<RegistryTable>>,
    version: sync::Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
struct RegistryTable {
    entries: collections::HashMap<name::ServerName, registry::RegistryEntry>,
    notices: Vec<registry::HeldNotice>,
    /// The departures that this instance committed in the control group.
    committed: fleet::DepartureTable,
    version: u64,
}

/// The announcements recorded after a version.
#[derive(Debug)]
pub(crate) struct RegistryDelta {
    /// The registry version after the delta.
    pub(crate) version: u64,
    /// The announcements with changed content.
    pub(crate) announcements: Vec<message::AgedAnnouncement>,
    /// The heartbeats of announcements with unchanged content.
    pub(crate) heartbeats: Vec<message::ServerHeartbeat>,
}

impl RegistryDelta {
    /// Returns whether the delta has neither announcements nor heartbeats.
    pub(crate) fn is_empty(&self) -> bool {
        self.announcements.is_empty() && self.heartbeats.is_empty()
    }
}

impl ServerRegistry {
    /// Creates an empty registry.
    pub(crate) fn new() -> Self {
        Self {
            table: sync::Arc::default(),
            version: sync::Arc::new(watch::Sender::new(0)),
        }
    }

    /// Records an announcement that was sent `age` ago; returns whether it is newer than the known one.
    pub(crate) fn record(
        &self,
        announcement: server::ServerAnnouncement,
        age: time::Duration,
        direct: bool,
        now: time::Instant,
    ) -> bool {
        let mut table = self.lock();
        let is_newer = table.record(announcement, age, direct, now);
        let version = table.version;
        drop(table);
        if is_newer {
            self.version.send_replace(version);
        }
        is_newer
    }

    /// Records a notice that a replica was loaded.
    ///
    /// The notice changes no entry, because only announcements define the replicas of a backend server.
    pub(crate) fn record_notice(&self, notice: message::ReplicaNotice, now: time::Instant) {
        let age = time::Duration::from_millis(notice.age_ms);
        let Some(loaded_at) = now.checked_sub(age) else {
            return;
        };
        let held = registry::HeldNotice { notice, loaded_at };
        let mut table = self.lock();
        table.drop_settled(now);
        table.notices.push(held);
        let version = table.version;
        drop(table);
        self.version.send_replace(version);
    }

    /// Returns whether this instance committed the departure in the control group.
    pub(crate) fn has_committed(&self, departure: &fleet::ServerDeparture) -> bool {
        self.lock().committed.holds(departure)
    }

    /// Records that the departure is committed in the control group.
    pub(crate) fn record_committed(&self, departure: fleet::ServerDeparture) {
        self.lock().committed.record(departure);
    }

    /// Returns the notices that are newer than the announcements.
    pub(crate) fn notices(&self, now: time::Instant) -> Vec<registry::HeldNotice> {
        let mut table = self.lock();
        table.drop_settled(now);
        table.notices.clone()
    }

    /// Returns a receiver that is notified of each new version and of each notice.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the entry of a backend server.
    pub(crate) fn entry(&self, name: &name::ServerName) -> Option<registry::RegistryEntry> {
        self.lock().entries.get(name).cloned()
    }

    /// Returns all entries.
    pub(crate) fn entries(&self) -> Vec<registry::RegistryEntry> {
        self.lock().entries.values().cloned().collect()
    }

    /// Returns the entries recorded after `version`, the oldest first.
    pub(crate) fn entries_since(&self, version: u64) -> Vec<registry::RegistryEntry> {
        let mut entries: Vec<_> = self
            .lock()
            .entries
            .values()
            .filter(|entry| entry.version > version)
            .cloned()
            .collect();
        entries.sort_by_key(|entry| entry.version);
        entries
    }

    /// Returns how many backend servers announced themselves within `ttl`.
    pub(crate) fn count_alive(&self, ttl: time::Duration, now: time::Instant) -> usize {
        self.lock()
            .entries
            .values()
            .filter(|entry| entry.age(now) <= ttl)
            .count()
    }

    /// Returns the announcements recorded after `version`; with `direct_only`, only those sent to this instance.
    ///
    /// Announcements whose content is unchanged since `version` become heartbeats.
    pub(crate) fn since(
        &self,
        version: u64,
        direct_only: bool,
        now: time::Instant,
    ) -> RegistryDelta {
        let table = self.lock();
        let mut delta = RegistryDelta {
            version: table.version,
            announcements: Vec::new(),
            heartbeats: Vec::new(),
        };
        let fresh = table
            .entries
            .values()
            .filter(|entry| entry.version > version && (entry.direct || !direct_only));
        for entry in fresh {
            if entry.changed_version > version {
                delta.announcements.push(entry.aged(now));
            } else {
                delta.heartbeats.push(entry.heartbeat(now));
            }
        }
        delta
    }

    /// Records a heartbeat; returns whether the announcement that it represents, or a later one, is known.
    pub(crate) fn record_heartbeat(
        &self,
        heartbeat: &message::ServerHeartbeat,
        now: time::Instant,
    ) -> bool {
        let renewed = self
            .entry(&heartbeat.name)
            .and_then(|entry| entry.renewed_by(heartbeat));
        let Some(announcement) = renewed else {
            return self.knows_later_incarnation(heartbeat);
        };
        let age = time::Duration::from_millis(heartbeat.age_ms);
        self.record(announcement, age, false, now);
        true
    }

    /// Returns whether a later incarnation than that of the heartbeat is known.
    fn knows_later_incarnation(&self, heartbeat: &message::ServerHeartbeat) -> bool {
        self.entry(&heartbeat.name)
            .is_some_and(|entry| entry.announcement.incarnation > heartbeat.incarnation)
    }

    /// Removes backend servers that have been silent for long.
    pub(crate) fn forget_silent(&self, now: time::Instant) {
        self.lock()
            .entries
            .retain(|_, entry| entry.age(now) < FORGET_AFTER);
    }

    fn lock(&self) -> sync::MutexGuard<'_, RegistryTable> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl RegistryTable {
    fn drop_settled(&mut self, now: time::Instant) {
        let entries = &self.entries;
        self.notices
            .retain(|held| held.is_current(entries.get(&held.notice.server), now));
    }

    fn record(
        &mut self,
        mut announcement: server::ServerAnnouncement,
        age: time::Duration,
        direct: bool,
        now: time::Instant,
    ) -> bool {
        let Some(sent_at) = now.checked_sub(age) else {
            return false;
        };
        let mut unchanged = None;
        if let Some(held) = self.entries.get(&announcement.name) {
            if !held.is_older_than(&announcement) {
                return false;
            }
            let same = held.announcement.incarnation == announcement.incarnation;
            announcement.leaving |= same && held.announcement.leaving;
            unchanged = held
                .has_same_content(&announcement)
                .then_some((held.unchanged_since, held.changed_version));
        }
        self.version += 1;
        let (unchanged_since, changed_version) =
            unchanged.unwrap_or((announcement.sequence, self.version));
        let entry = registry::RegistryEntry {
            unchanged_since,
            changed_version,
            version: self.version,
            sent_at,
            direct,
            announcement: sync::Arc::new(announcement),
        };
        self.entries.insert(entry.announcement.name.clone(), entry);
        true
    }
}
