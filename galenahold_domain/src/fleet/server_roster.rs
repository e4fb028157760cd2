//! The leader's record of all backend servers, from which views are updated.

use std::collections;
use std::time;

use crate::fleet;
use crate::name;

/// The backend servers as the control group's leader knows them from their notices.
///
/// A notice is applied only if it is newer than the record. Of one server, the latest start and its
/// highest sequence win; of several servers at one address, the latest start wins. A server that
/// drains or left stays so until it restarts.
#[derive(Debug)]
pub struct ServerRoster {
    term: u64,
    version: u64,
    settles_at: time::Instant,
    silent_after: time::Duration,
    entries: collections::BTreeMap<name::ServerName, RosterEntry>,
    /// The servers that were removed, for views that still have them.
    gone: collections::BTreeMap<name::ServerName, RosterChange>,
    departures: fleet::DepartureTable,
    departure_changes: collections::BTreeMap<name::ServerName, RosterChange>,
}

#[derive(Debug)]
struct RosterEntry {
    record: fleet::ServerRecord,
    sequence: u64,
    contact_at: time::Instant,
    changed_version: u64,
    /// The version in which the server's origin last changed.
    origin_version: u64,
    /// The version in which the server's cached weights last changed.
    copies_version: u64,
}

impl RosterEntry {
    /// Returns the change that brings a view at version `since` up to date.
    fn change_since(&self, since: u64) -> fleet::RecordChange {
        let record = self.record.clone();
        fleet::RecordChange {
            origin: (self.origin_version > since).then(|| record.origin()),
            copies: (self.copies_version > since).then_some(record.copies),
            name: record.name,
            started_ms: record.started_ms,
            stage: record.stage,
            silent: record.silent,
            leaves_soon: record.leaves_soon,
            models: record.models,
            loading: record.loading,
        }
    }
}

/// A change of the roster that views are told of for a limited time.
#[derive(Debug, Clone, Copy)]
struct RosterChange {
    version: u64,
    at: time::Instant,
}

impl ServerRoster {
    /// How long a departed or silent server is kept.
    pub const RETENTION: time::Duration = time::Duration::from_secs(90);

    /// The number of notice periods without a notice after which a server counts as silent.
    const SILENT_PERIODS: u32 = 4;

    /// The number of notice periods after which the roster of a new leader counts as settled.
    const SETTLING_PERIODS: u32 = 4;

    /// Creates an empty roster for a leader whose term begins now.
    ///
    /// Each server sends about one notice per `period`.
    #[must_use]
    pub fn new(term: u64, period: time::Duration, now: time::Instant) -> Self {
        Self {
            term,
            version: 1,
            settles_at: now + period * Self::SETTLING_PERIODS,
            silent_after: period * Self::SILENT_PERIODS,
            entries: collections::BTreeMap::new(),
            gone: collections::BTreeMap::new(),
            departures: fleet::DepartureTable::default(),
            departure_changes: collections::BTreeMap::new(),
        }
    }

    /// Takes over the departures that the control group committed under earlier leaders.
    pub fn adopt<'a>(
        &mut self,
        departures: impl Iterator<Item = &'a fleet::ServerDeparture>,
        now: time::Instant,
    ) {
        for departure in departures {
            self.record_departure(departure.clone(), now);
        }
    }

    /// Returns the cursor of the latest version.
    #[must_use]
    pub fn cursor(&self, now: time::Instant) -> fleet::RosterCursor {
        fleet::RosterCursor {
            term: self.term,
            version: self.version,
            settled: self.is_settled(now),
        }
    }

    /// Returns whether all servers have had time to send a notice to this leader.
    #[must_use]
    pub fn is_settled(&self, now: time::Instant) -> bool {
        now >= self.settles_at
    }

    /// Returns the records of all servers.
    pub fn records(&self) -> impl Iterator<Item = &fleet::ServerRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the record of the server with this name.
    #[must_use]
    pub fn get(&self, name: &name::ServerName) -> Option<&fleet::ServerRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Applies a server's notice.
    pub fn take(
        &mut self,
        notice: fleet::ServerNotice,
        now: time::Instant,
    ) -> fleet::NoticeOutcome {
        if let Some(departure) = notice.departure() {
            self.record_departure(departure, now);
        }
        if self.is_outdated(&notice) {
            // A drain lasts until the next start, also if later notices of this start came first.
            if self.is_departing(&notice.name) {
                self.change(&notice.name, |record| {
                    record.stage = fleet::ServerStage::Draining;
                });
            }
            return fleet::NoticeOutcome::Late;
        }
        self.remove_others_at(&notice, now);
        let sequence = notice.sequence;
        let mut record = fleet::ServerRecord::from(notice);
        let departure = self.departures.get(&record.name);
        if departure.is_some_and(|departure| departure.covers(record.started_ms)) {
            record.stage = fleet::ServerStage::Draining;
        }
        let known = self.entries.get(&record.name);
        let known = known.filter(|known| known.record.started_ms == record.started_ms);
        if let Some(known) = known {
            carry_over_state(&mut record, &known.record);
            let mut before = known.record.clone();
            before.adapters.clone_from(&record.adapters);
            if before == record {
                self.refresh(record, sequence, now);
                return fleet::NoticeOutcome::Confirmed;
            }
        }
        let outcome = match known {
            Some(_) => fleet::NoticeOutcome::Changed,
            None => fleet::NoticeOutcome::Joined,
        };
        self.insert_record(record, sequence, now);
        outcome
    }

    /// Removes a server that announced that it leaves, and returns its departure.
    ///
    /// A server that sent this leader no notice is removed as well, as views may know it from the
    /// previous leader. Its start is unknown, and all starts until `now_ms`, in milliseconds since
    /// the Unix epoch, count as ended. That an earlier start left does not matter: the server may
    /// have restarted since.
    pub fn leave(
        &mut self,
        name: &name::ServerName,
        now_ms: u64,
        now: time::Instant,
    ) -> fleet::ServerDeparture {
        let entry = self.entries.get(name);
        let departure = fleet::ServerDeparture {
            name: name.clone(),
            started_ms: entry.map_or(now_ms, |entry| entry.record.started_ms),
            stage: fleet::DepartureStage::Left,
        };
        self.remove(name, now);
        self.record_departure(departure.clone(), now);
        departure
    }

    /// Records a departure that a server announced to an entry instance in an answer.
    pub fn depart(&mut self, departure: fleet::ServerDeparture, now: time::Instant) {
        let name = departure.name.clone();
        self.record_departure(departure, now);
        if self.is_departing(&name) {
            self.change(&name, |record| {
                record.stage = fleet::ServerStage::Draining;
            });
        }
    }

    /// Returns whether the recorded start of the server announced that it takes no new requests.
    fn is_departing(&self, name: &name::ServerName) -> bool {
        let departure = self.departures.get(name);
        let record = self.get(name);
        departure.is_some_and(|departure| {
            record.is_some_and(|record| departure.covers(record.started_ms))
        })
    }

    /// Removes a server; it may return with its next notice, without a restart.
    fn remove(&mut self, name: &name::ServerName, now: time::Instant) {
        self.entries.remove(name);
        self.version += 1;
        let change = RosterChange {
            version: self.version,
            at: now,
        };
        self.gone.insert(name.clone(), change);
    }

    fn record_departure(&mut self, departure: fleet::ServerDeparture, now: time::Instant) {
        let name = departure.name.clone();
        if self.departures.record(departure) {
            self.version += 1;
            let change = RosterChange {
                version: self.version,
                at: now,
            };
            self.departure_changes.insert(name, change);
        }
    }

    /// Marks servers whose notices have stopped as silent, removes those without a notice for the
    /// retention time, and forgets departed servers after it.
    pub fn expire(&mut self, now: time::Instant) {
        let silent: Vec<_> = self
            .entries
            .values()
            .filter(|entry| {
                !entry.record.silent
                    && now.saturating_duration_since(entry.contact_at) >= self.silent_after
            })
            .map(|entry| entry.record.name.clone())
            .collect();
        for name in silent {
            self.change(&name, |record| record.silent = true);
        }
        let lost: Vec<_> = self
            .entries
            .values()
            .filter(|entry| now.saturating_duration_since(entry.contact_at) >= Self::RETENTION)
            .map(|entry| entry.record.name.clone())
            .collect();
        for name in lost {
            self.remove(&name, now);
        }
        self.gone
            .retain(|_, change| now.saturating_duration_since(change.at) < Self::RETENTION);
        self.forget_departures(now);
    }

    /// Forgets the departures of servers that have been gone for the retention time.
    fn forget_departures(&mut self, now: time::Instant) {
        let (entries, departures) = (&self.entries, &mut self.departures);
        self.departure_changes.retain(|name, change| {
            let kept = entries.contains_key(name)
                || now.saturating_duration_since(change.at) < Self::RETENTION;
            if !kept {
                departures.forget(name);
            }
            kept
        });
    }

    /// Changes the record of a server for which the leader knows more than the last notice.
    pub fn change(
        &mut self,
        name: &name::ServerName,
        change: impl FnOnce(&mut fleet::ServerRecord),
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let before = entry.record.clone();
        change(&mut entry.record);
        if entry.record != before {
            self.version += 1;
            entry.changed_version = self.version;
        }
    }

    /// Returns the update that brings a view at `cursor` up to date, if there is one.
    #[must_use]
    pub fn update_since(
        &self,
        cursor: fleet::RosterCursor,
        now: time::Instant,
    ) -> Option<fleet::RosterUpdate> {
        let latest = self.cursor(now);
        if cursor == latest {
            return None;
        }
        let whole =
            cursor.term != latest.term || cursor.version == 0 || cursor.settled != latest.settled;
        let since = if whole { 0 } else { cursor.version };
        let records = self
            .entries
            .values()
            .filter(|entry| entry.changed_version > since)
            .map(|entry| entry.change_since(since))
            .collect();
        let is_new = |change: &RosterChange| change.version > since;
        let gone = self.gone.iter().filter(|(_, change)| is_new(change));
        let departing = self
            .departure_changes
            .iter()
            .filter(|(_, change)| is_new(change));
        Some(fleet::RosterUpdate {
            cursor: latest,
            whole,
            records,
            gone: gone.map(|(name, _)| name.clone()).collect(),
            departures: departing
                .filter_map(|(name, _)| self.departures.get(name).cloned())
                .collect(),
        })
    }

    /// Returns whether the roster has newer information than the notice.
    fn is_outdated(&self, notice: &fleet::ServerNotice) -> bool {
        let departure = self.departures.get(&notice.name);
        if departure.is_some_and(|departure| departure.ends(notice.started_ms)) {
            return true;
        }
        let known = self.entries.get(&notice.name).is_some_and(|known| {
            let started = known.record.started_ms;
            let is_later_start = notice.started_ms > started;
            let is_next_notice = notice.started_ms == started && notice.sequence > known.sequence;
            !(is_later_start || is_next_notice)
        });
        let taken_over = self.entries.values().any(|entry| {
            entry.record.address == notice.address
                && entry.record.name != notice.name
                && entry.record.started_ms > notice.started_ms
        });
        known || taken_over
    }

    /// Removes other servers with the notice's address, none of which started later.
    fn remove_others_at(&mut self, notice: &fleet::ServerNotice, now: time::Instant) {
        let others: Vec<_> = self
            .entries
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.address == notice.address && record.name != notice.name)
            .map(|record| fleet::ServerDeparture {
                name: record.name.clone(),
                started_ms: record.started_ms,
                stage: fleet::DepartureStage::Left,
            })
            .collect();
        for departure in others {
            self.remove(&departure.name, now);
            self.record_departure(departure, now);
        }
    }

    /// Stores a record without a change that followers are told of.
    fn refresh(&mut self, record: fleet::ServerRecord, sequence: u64, now: time::Instant) {
        if let Some(entry) = self.entries.get_mut(&record.name) {
            entry.record = record;
            entry.sequence = sequence;
            entry.contact_at = now;
        }
    }

    /// Stores a new or changed record under a new version of the roster.
    fn insert_record(&mut self, record: fleet::ServerRecord, sequence: u64, now: time::Instant) {
        self.version += 1;
        self.gone.remove(&record.name);
        let known = self
            .entries
            .get(&record.name)
            .filter(|known| known.record.has_same_origin(&record));
        let same_copies = known.filter(|known| known.record.copies == record.copies);
        let entry = RosterEntry {
            sequence,
            contact_at: now,
            changed_version: self.version,
            origin_version: known.map_or(self.version, |known| known.origin_version),
            copies_version: same_copies.map_or(self.version, |known| known.copies_version),
            record,
        };
        self.entries.insert(entry.record.name.clone(), entry);
    }
}

/// Carries over the state that a notice does not contain: draining, the load in progress, and the
/// models that the leader is about to unload.
fn carry_over_state(record: &mut fleet::ServerRecord, known: &fleet::ServerRecord) {
    if known.stage == fleet::ServerStage::Draining {
        record.stage = fleet::ServerStage::Draining;
    }
    record.loading.clone_from(&known.loading);
    for model in &mut record.models {
        let held = known.model(&model.name);
        model.retiring = held.is_some_and(|held| held.retiring);
    }
}
