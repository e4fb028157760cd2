//! The leader's table of the loads of all entry instances.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::load;

/// How long an instance's use of a server counts after its last report of it. Reports come every 700 ms, so
/// that two may be lost.
const USE_EXPIRY: time::Duration = time::Duration::from_secs(2);

/// Minimum time between two sums of the reports.
const SUM_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The same for each server in the table: updates are rarer in a large fleet, and a sum over 3,800 servers takes
/// 3 ms.
const SUM_INTERVAL_PER_SERVER: time::Duration = time::Duration::from_micros(250);

/// How long a new leader collects reports before it sends loads: each instance has to have reported once.
const COLLECTING_TIME: time::Duration = time::Duration::from_secs(1);

/// Minimum time between the sums of two updates that replies carry which are sent anyway. Replies come every
/// 400 ms while the roster changes and every 700 ms otherwise, and a sum is up to 100 ms older.
const RIDE_AGE: time::Duration = time::Duration::from_millis(550);

/// Minimum time for which a request is held that only a change of load ends.
const WAKE_AGE: time::Duration = time::Duration::from_millis(800);

/// The same times for a follower at which calls wait.
const URGENT_AGE: time::Duration = time::Duration::from_millis(250);

/// Minimum age for each server in the table, which bounds an instance's traffic: in a busy fleet, one or two
/// of a server's four values change between two updates, and each takes a byte.
const AGE_PER_SERVER: time::Duration = time::Duration::from_millis(2);

/// The same for a follower at which calls wait. With less, updates about 90 busy servers take an
/// instance's traffic beyond 0.5 kB/s.
const URGENT_AGE_PER_SERVER: time::Duration = time::Duration::from_millis(6);

/// Largest minimum age: an older load would hardly count.
const MAX_STRETCHED_AGE: time::Duration = time::Duration::from_secs(4);

/// Time between two removals of servers that are gone.
const CLEANING_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// What the calls of all entry instances use at each start of a server, and the estimated speeds.
///
/// Soft state of one term: the reports of a few seconds rebuild it. It is summed up at most ten times a
/// second, whatever the number of followers, and an update copies nothing but the changed rows.
#[derive(Debug)]
pub struct FleetLoadTable {
    term: u64,
    started_at: time::Instant,
    summed_at: Option<time::Instant>,
    cleaned_at: time::Instant,
    /// When the loads were last summed up, in milliseconds since one millisecond before the term began.
    version: u64,
    /// The version in which a row last changed.
    changed_version: u64,
    numbers: collections::HashMap<name::ServerName, u16>,
    servers: Vec<Option<TableServer>>,
    model_numbers: collections::HashMap<name::ModelName, u16>,
    models: Vec<TableModel>,
    estimator: load::PaceEstimator,
}

#[derive(Debug)]
struct TableServer {
    server: name::ServerName,
    started_ms: u64,
    uses: collections::HashMap<name::InstanceName, InstanceUse>,
    running: VersionedValue<load::LoadLevel>,
    unread: VersionedValue<load::LoadLevel>,
    cache: VersionedValue<load::LoadLevel>,
    pace: VersionedValue<Option<load::PaceLevel>>,
    /// The version from which followers know this start of the server; `None` before the next sum.
    listed_version: Option<u64>,
}

/// A value with the version in which it last changed; zero if it is still what followers assume at first.
#[derive(Debug, Default)]
struct VersionedValue<Value> {
    value: Value,
    changed_version: u64,
}

#[derive(Debug)]
struct InstanceUse {
    amounts: load::UseAmounts,
    reported_at: time::Instant,
}

#[derive(Debug)]
struct TableModel {
    model: name::ModelName,
    event: load::PaceLevel,
    listed_version: u64,
    changed_version: u64,
}

impl FleetLoadTable {
    /// Creates an empty table for a term that begins now.
    #[must_use]
    pub fn new(term: u64, now: time::Instant) -> Self {
        Self {
            term,
            started_at: now,
            summed_at: None,
            cleaned_at: now,
            version: 0,
            changed_version: 0,
            numbers: collections::HashMap::new(),
            servers: Vec::new(),
            model_numbers: collections::HashMap::new(),
            models: Vec::new(),
            estimator: load::PaceEstimator::new(now),
        }
    }

    /// Records what an instance reports.
    pub fn record(
        &mut self,
        instance: &name::InstanceName,
        uses: &[load::ServerUse],
        now: time::Instant,
    ) {
        for used in uses {
            let Some(server) = self.server_mut(&used.server, used.started_ms) else {
                continue;
            };
            let amounts = load::UseAmounts::of(used);
            if amounts.is_zero() {
                server.uses.remove(instance);
            } else {
                let reported = InstanceUse {
                    amounts,
                    reported_at: now,
                };
                server.uses.insert(instance.clone(), reported);
            }
            for sample in &used.paces {
                self.estimator
                    .record(&used.server, used.started_ms, sample, now);
            }
        }
    }

    /// Sums up the reports, unless that was done just now; returns whether it was done.
    ///
    /// `is_present` returns whether a server still exists.
    pub fn sum_up(
        &mut self,
        is_present: impl Fn(&name::ServerName) -> bool,
        now: time::Instant,
    ) -> bool {
        let interval = self.stretched(SUM_INTERVAL, SUM_INTERVAL_PER_SERVER);
        let is_early = self
            .summed_at
            .is_some_and(|at| now.saturating_duration_since(at) < interval);
        if is_early {
            return false;
        }
        self.summed_at = Some(now);
        self.version = self.version_at(now);
        if now.saturating_duration_since(self.cleaned_at) >= CLEANING_INTERVAL {
            self.cleaned_at = now;
            self.clean(is_present, now);
        }
        self.estimator.centre();
        let version = self.version;
        for server in self.servers.iter_mut().flatten() {
            let factor = self.estimator.factor(&server.server);
            if server.sum_up(factor, version, now) {
                self.changed_version = version;
            }
        }
        self.update_bases();
        true
    }

    /// Returns after what time a follower's held request is to be looked at again if only loads change; zero if
    /// it ends now.
    ///
    /// `urgent` says whether calls wait at the follower, whose request was held for `waited`.
    #[must_use]
    pub fn wake_delay(
        &self,
        have: load::LoadVersion,
        urgent: bool,
        waited: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let collecting = self.collecting_time(now);
        if self.version == 0 || !collecting.is_zero() {
            return collecting.max(SUM_INTERVAL);
        }
        let is_known = self.view_age(have).is_some();
        let min_hold = if urgent || !is_known {
            self.stretched(URGENT_AGE, URGENT_AGE_PER_SERVER)
        } else {
            self.stretched(WAKE_AGE, AGE_PER_SERVER)
        };
        let delay = min_hold.saturating_sub(waited);
        if delay.is_zero() && is_known && self.changed_version <= have.version {
            return SUM_INTERVAL;
        }
        delay
    }

    /// Returns the update for a follower whose reply is sent now; `None` if its view is recent.
    #[must_use]
    pub fn update_since(
        &self,
        have: load::LoadVersion,
        urgent: bool,
        now: time::Instant,
    ) -> Option<load::LoadUpdate> {
        if self.version == 0 || !self.collecting_time(now).is_zero() {
            return None;
        }
        let min_age = if urgent {
            self.stretched(URGENT_AGE, URGENT_AGE_PER_SERVER)
        } else {
            self.stretched(RIDE_AGE, AGE_PER_SERVER)
        };
        let age = self.view_age(have);
        if age.is_some_and(|age| age < min_age) {
            return None;
        }
        let is_full = age.is_none();
        let since = if is_full { 0 } else { have.version };
        let summed_at = self.summed_at.unwrap_or(now);
        let age = now.saturating_duration_since(summed_at);
        let mut update = load::LoadUpdate {
            version: self.cursor(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            is_full,
            servers: Vec::new(),
            running: load::LoadColumn::default(),
            unread: load::LoadColumn::default(),
            cache: load::LoadColumn::default(),
            paces: load::LoadColumn::default(),
            models: Vec::new(),
            bases: Vec::new(),
        };
        self.add_servers(&mut update, since);
        for (number, model) in (0_u16..).zip(&self.models) {
            if model.listed_version > since {
                update.models.push(load::ModelRow {
                    number,
                    model: model.model.clone(),
                });
            }
            if model.changed_version > since {
                update.bases.push(load::BaseRow {
                    number,
                    event: model.event,
                });
            }
        }
        Some(update)
    }

    /// Iterates over the known speeds: server, its start and the time for an event relative to the mean.
    pub fn paces(&self) -> impl Iterator<Item = (&name::ServerName, u64, f64)> {
        self.estimator.factors()
    }

    /// Returns the version of the last sum.
    #[must_use]
    pub fn cursor(&self) -> load::LoadVersion {
        load::LoadVersion {
            term: self.term,
            version: self.version,
        }
    }

    fn add_servers(&self, update: &mut load::LoadUpdate, since: u64) {
        for (number, slot) in (0_u16..).zip(&self.servers) {
            let Some(server) = slot else {
                continue;
            };
            let Some(listed_version) = server.listed_version else {
                continue;
            };
            if listed_version > since {
                update.servers.push(load::ServerRow {
                    number,
                    server: server.server.clone(),
                    started_ms: server.started_ms,
                });
            }
            if let Some(running) = server.running.since(since) {
                update.running.push(number, running.code());
            }
            if let Some(unread) = server.unread.since(since) {
                update.unread.push(number, unread.code());
            }
            if let Some(cache) = server.cache.since(since) {
                update.cache.push(number, cache.code());
            }
            if let Some(pace) = server.pace.since(since).flatten() {
                update.paces.push(number, pace.code());
            }
        }
    }

    /// Returns the entry of a start of a server; `None` if a later start is known or the table is full.
    fn server_mut(&mut self, name: &name::ServerName, started_ms: u64) -> Option<&mut TableServer> {
        if let Some(number) = self.numbers.get(name) {
            let server = self.servers.get_mut(usize::from(*number))?.as_mut()?;
            if server.started_ms > started_ms {
                return None;
            }
            if server.started_ms < started_ms {
                *server = TableServer::new(name.clone(), started_ms);
                self.estimator.restart(name, started_ms);
            }
            return Some(server);
        }
        let free = self.servers.iter().position(Option::is_none);
        let position = free.unwrap_or(self.servers.len());
        // The last number stays unused, so that the number after each one exists.
        let number = u16::try_from(position)
            .ok()
            .filter(|number| *number < u16::MAX)?;
        if position == self.servers.len() {
            self.servers.push(None);
        }
        self.numbers.insert(name.clone(), number);
        let slot = self.servers.get_mut(position)?;
        Some(slot.insert(TableServer::new(name.clone(), started_ms)))
    }

    /// Removes servers that are gone. Their numbers are given to other servers.
    fn clean(&mut self, is_present: impl Fn(&name::ServerName) -> bool, now: time::Instant) {
        for slot in &mut self.servers {
            let is_gone = |server: &TableServer| !is_present(&server.server);
            if let Some(server) = slot.take_if(|server| is_gone(server)) {
                self.numbers.remove(&server.server);
            }
        }
        self.estimator.retain(is_present, now);
    }

    fn update_bases(&mut self) {
        for (model, event_us) in self.estimator.bases() {
            if let Some(number) = self.model_numbers.get(model) {
                let known = &mut self.models[usize::from(*number)];
                let event = known.event.follow(event_us);
                if event != known.event {
                    known.event = event;
                    known.changed_version = self.version;
                    self.changed_version = self.version;
                }
                continue;
            }
            let Ok(number) = u16::try_from(self.models.len()) else {
                return;
            };
            self.model_numbers.insert(model.clone(), number);
            self.models.push(TableModel {
                model: model.clone(),
                event: load::PaceLevel::nearest(event_us),
                listed_version: self.version,
                changed_version: self.version,
            });
            self.changed_version = self.version;
        }
    }

    /// Returns how much older a follower's view is than the last sum; `None` if it is not of this term.
    fn view_age(&self, have: load::LoadVersion) -> Option<time::Duration> {
        let is_known = have.term == self.term && have.version > 0;
        let age_ms = self.version.checked_sub(have.version)?;
        is_known.then_some(time::Duration::from_millis(age_ms))
    }

    fn version_at(&self, now: time::Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX - 1) + 1
    }

    fn collecting_time(&self, now: time::Instant) -> time::Duration {
        COLLECTING_TIME.saturating_sub(now.saturating_duration_since(self.started_at))
    }

    fn stretched(&self, min_age: time::Duration, per_server: time::Duration) -> time::Duration {
        let count = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX);
        min_age.max(per_server.saturating_mul(count).min(MAX_STRETCHED_AGE))
    }
}

impl TableServer {
    fn new(server: name::ServerName, started_ms: u64) -> Self {
        Self {
            server,
            started_ms,
            uses: collections::HashMap::new(),
            running: VersionedValue::default(),
            unread: VersionedValue::default(),
            cache: VersionedValue::default(),
            pace: VersionedValue::default(),
            listed_version: None,
        }
    }

    /// Sums up the uses that have not expired; returns whether a rounded value changed.
    fn sum_up(&mut self, factor: Option<f64>, version: u64, now: time::Instant) -> bool {
        self.uses
            .retain(|_, used| now.saturating_duration_since(used.reported_at) < USE_EXPIRY);
        let amounts = self.uses.values().map(|used| used.amounts);
        let sum = amounts.fold(load::UseAmounts::default(), load::UseAmounts::plus);
        let unread_units = load::LoadLevel::token_units(sum.unread_tokens);
        let cache_units = load::LoadLevel::token_units(sum.cache_tokens);
        let pace = factor.map(|factor| match self.pace.value {
            Some(pace) => pace.follow(factor),
            None => load::PaceLevel::nearest(factor),
        });
        let is_new = self.listed_version.is_none();
        self.listed_version.get_or_insert(version);
        let changes = [
            self.running
                .set(self.running.value.follow(sum.running), version),
            self.unread
                .set(self.unread.value.follow(unread_units), version),
            self.cache
                .set(self.cache.value.follow(cache_units), version),
            // A factor that became unknown is one of an earlier start, which is listed anew.
            pace.is_some() && self.pace.set(pace, version),
        ];
        is_new || changes.contains(&true)
    }
}

impl<Value: Copy + PartialEq> VersionedValue<Value> {
    /// Sets the value; returns whether it changed.
    fn set(&mut self, value: Value, version: u64) -> bool {
        if value == self.value {
            return false;
        }
        self.value = value;
        self.changed_version = version;
        true
    }

    /// Returns the value if it has changed since a version.
    fn since(&self, version: u64) -> Option<Value> {
        (self.changed_version > version).then_some(self.value)
    }
}
