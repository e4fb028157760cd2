//! Ensures that an order runs at most once, with bounded storage.

use std::collections;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::digest;
use crate::name;
use crate::order;

/// The maximum number of records that one command drops, so that a command after a quiet time does
/// not take long.
const MAX_DROPS_PER_COMMAND: usize = 64;

/// The record of started orders and their outcomes, which lets each order run at most once.
///
/// The ledger guarantees for each [`order::OrderKey`]:
///
/// - At most one attempt runs at a time, and only its owner may send the order. A further attempt
///   starts only after the previous one ended as [`order::OrderOutcome::NotRun`].
/// - An order that was answered, or whose outcome is unknown, never runs again: for at least
///   `window_ms` after its end a repeat gets the recorded outcome, and after that, until at least
///   `remembered_ms` after its end, it gets [`order::OrderStart::Expired`]. The key is forgotten
///   only after that time, and only once `remembered` other keys ended after it.
/// - The attempts of a key never share a number, even if its record was dropped in between, so that
///   a late finish of an earlier attempt never ends a later one.
/// - A running attempt is kept without a time limit, until it is finished or abandoned.
/// - If the maximum number of records is reached and none can be dropped under these rules, new
///   orders get [`order::OrderStart::Full`]. A team may hold at most as many records as are still
///   free, so that a single team never fills the ledger for the others. The same rule applies to
///   the bytes of answers; an answer beyond them is kept without its body.
///
/// A clone shares the records, so that a snapshot can be written from it while the ledger changes.
///
/// Times come from the proposers' clocks. The ledger's time never goes back. A clock that is ahead
/// shortens the times above, but no key is forgotten before `remembered` others ended after it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "LedgerDocument")]
pub struct OrderLedger {
    limits: order::OrderLimits,
    now_ms: u64,
    attempt_floor: u32,
    records: collections::BTreeMap<digest::ShortHash, sync::Arc<order::OrderRecord>>,
    remembered: collections::VecDeque<RememberedKey>,
    ended: amount::IncarnationFloors<name::InstanceName>,
    #[serde(skip)]
    ends: collections::BTreeSet<(u64, digest::ShortHash)>,
    #[serde(skip)]
    remembered_hashes: collections::BTreeSet<u64>,
    #[serde(skip)]
    usage: order::OrderUsage,
    #[serde(skip)]
    team_usage: collections::BTreeMap<name::TeamName, order::OrderUsage>,
}

/// The stored fields of the ledger, from which its indexes and usage are rebuilt.
#[derive(Deserialize)]
struct LedgerDocument {
    limits: order::OrderLimits,
    now_ms: u64,
    attempt_floor: u32,
    records: collections::BTreeMap<digest::ShortHash, sync::Arc<order::OrderRecord>>,
    remembered: collections::VecDeque<RememberedKey>,
    ended: amount::IncarnationFloors<name::InstanceName>,
}

/// The key of a dropped record: 64 bits of its hash, and the end of its order in milliseconds.
///
/// If two keys have equal bits, the later one counts as expired at once: an order is refused, but
/// none runs twice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct RememberedKey(u64, u64);

impl Default for OrderLedger {
    fn default() -> Self {
        Self::with_limits(order::OrderLimits::default())
    }
}

impl From<LedgerDocument> for OrderLedger {
    fn from(document: LedgerDocument) -> Self {
        let mut ledger = Self::with_limits(document.limits);
        ledger.now_ms = document.now_ms;
        ledger.attempt_floor = document.attempt_floor;
        ledger.ended = document.ended;
        for key in &document.remembered {
            ledger.remembered_hashes.insert(key.0);
        }
        ledger.remembered = document.remembered;
        for (hash, record) in document.records {
            if let Some(end) = &record.end {
                ledger.ends.insert((end.at_ms, hash));
            }
            ledger.add_usage(&record);
            ledger.records.insert(hash, record);
        }
        ledger
    }
}

impl OrderLedger {
    /// Creates an empty ledger with these limits.
    #[must_use]
    pub fn with_limits(limits: order::OrderLimits) -> Self {
        Self {
            limits,
            now_ms: 0,
            attempt_floor: 0,
            records: collections::BTreeMap::new(),
            remembered: collections::VecDeque::new(),
            ended: amount::IncarnationFloors::new(),
            ends: collections::BTreeSet::new(),
            remembered_hashes: collections::BTreeSet::new(),
            usage: order::OrderUsage::default(),
            team_usage: collections::BTreeMap::new(),
        }
    }

    /// Starts an attempt of an order, or returns why none starts.
    ///
    /// A repeat by the same owner gets the same attempt while it runs. A late duplicate of a start
    /// whose attempt has ended starts nothing.
    pub fn start(
        &mut self,
        key: &order::OrderKey,
        digest: &str,
        owner: &order::OrderOwner,
        now_ms: u64,
    ) -> order::OrderStart {
        self.advance_time(now_ms);
        let hash = key_hash(key);
        let content = content_hash(digest);
        if self.records.contains_key(&hash) {
            return self.answer_repeat(hash, content, owner);
        }
        if self.remembered_hashes.contains(&hash.high()) {
            return order::OrderStart::Expired;
        }
        if self.owner_has_ended(owner) {
            return order::OrderStart::OwnerEnded;
        }
        if !self.has_capacity_for(&key.team) {
            return order::OrderStart::Full;
        }
        self.begin(hash, &key.team, content, owner)
    }

    /// Records how an attempt ended.
    ///
    /// The first outcome is kept, except that a late answer replaces an unknown outcome.
    pub fn finish(
        &mut self,
        key: &order::OrderKey,
        attempt: u32,
        outcome: &order::OrderOutcome,
        now_ms: u64,
    ) -> order::OrderFinish {
        self.advance_time(now_ms);
        let hash = key_hash(key);
        let Some(record) = self.records.get(&hash) else {
            return order::OrderFinish::NoSuchOrder;
        };
        if record.attempt != attempt {
            return order::OrderFinish::WrongAttempt {
                current: record.attempt,
            };
        }
        if replaces_outcome(record, outcome) {
            self.end(hash, outcome.clone());
        }
        order::OrderFinish::Recorded
    }

    /// Ends the running attempts of an instance's incarnations before this one as unknown, and
    /// returns their number.
    ///
    /// Later starts by these incarnations are refused.
    pub fn abandon(
        &mut self,
        instance: &name::InstanceName,
        before: amount::IncarnationNumber,
        now_ms: u64,
    ) -> u64 {
        self.advance_time(now_ms);
        self.ended.raise(instance, before, |_| false);
        let hashes: Vec<digest::ShortHash> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_running())
            .filter(|(_, record)| record.owner.instance == *instance)
            .filter(|(_, record)| record.owner.incarnation < before)
            .map(|(hash, _)| *hash)
            .collect();
        for hash in &hashes {
            self.end(*hash, order::OrderOutcome::Unknown);
        }
        hashes.len() as u64
    }

    /// Returns the statistics of the ledger.
    #[must_use]
    pub fn statistics(&self) -> order::OrderStatistics {
        order::OrderStatistics {
            usage: self.usage,
            running: self.usage.records - self.ends.len(),
            remembered: self.remembered.len(),
        }
    }

    /// Returns how much of the ledger a team uses.
    #[must_use]
    pub fn team_usage(&self, team: &str) -> order::OrderUsage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Answers the start of an order that already has a record.
    fn answer_repeat(
        &mut self,
        hash: digest::ShortHash,
        content: digest::ShortHash,
        owner: &order::OrderOwner,
    ) -> order::OrderStart {
        let owner_has_ended = self.owner_has_ended(owner);
        let Some(record) = self.records.get_mut(&hash) else {
            return order::OrderStart::Expired;
        };
        if record.content != content {
            return order::OrderStart::DigestDiffers;
        }
        let Some(end) = &record.end else {
            return running_start(record, owner);
        };
        match &end.outcome {
            order::OrderOutcome::Answered(answer) => order::OrderStart::Answered(answer.clone()),
            order::OrderOutcome::Unknown => order::OrderStart::Unknown,
            order::OrderOutcome::NotRun if record.had_owner(owner) => order::OrderStart::Running,
            order::OrderOutcome::NotRun if owner_has_ended => order::OrderStart::OwnerEnded,
            order::OrderOutcome::NotRun => {
                self.ends.remove(&(end.at_ms, hash));
                let record = sync::Arc::make_mut(record);
                record.begin_next(owner.clone());
                order::OrderStart::Begun {
                    attempt: record.attempt,
                }
            }
        }
    }

    /// Creates the record of an order and starts its first attempt.
    fn begin(
        &mut self,
        hash: digest::ShortHash,
        team: &name::TeamName,
        content: digest::ShortHash,
        owner: &order::OrderOwner,
    ) -> order::OrderStart {
        let team = match self.team_usage.get_key_value(team) {
            Some((team, _)) => team.clone(),
            None => team.clone(),
        };
        let attempt = self.attempt_floor + 1;
        let record = order::OrderRecord::begin(team, content, owner.clone(), attempt);
        self.add_usage(&record);
        self.records.insert(hash, sync::Arc::new(record));
        order::OrderStart::Begun { attempt }
    }

    /// Records the outcome of an attempt at the ledger's current time.
    fn end(&mut self, hash: digest::ShortHash, outcome: order::OrderOutcome) {
        let Some(mut record) = self.records.remove(&hash) else {
            return;
        };
        if let Some(end) = &record.end {
            self.ends.remove(&(end.at_ms, hash));
        }
        self.subtract_usage(&record);
        let outcome = self.limit_answer(&record.team, outcome);
        sync::Arc::make_mut(&mut record).end = Some(order::RecordEnd {
            outcome,
            at_ms: self.now_ms,
        });
        self.add_usage(&record);
        self.ends.insert((self.now_ms, hash));
        self.records.insert(hash, record);
    }

    /// Drops the body of an answer that exceeds the limits.
    fn limit_answer(
        &self,
        team: &name::TeamName,
        outcome: order::OrderOutcome,
    ) -> order::OrderOutcome {
        let order::OrderOutcome::Answered(answer) = outcome else {
            return outcome;
        };
        let bytes = answer.kept_bytes();
        let free = self.limits.total_bytes.saturating_sub(self.usage.bytes);
        let available = free.saturating_sub(self.team_usage(team).bytes);
        if bytes > self.limits.answer_bytes || bytes > available {
            return order::OrderOutcome::Answered(answer.without_body());
        }
        order::OrderOutcome::Answered(answer)
    }

    /// Returns whether the incarnation of the owner was abandoned.
    fn owner_has_ended(&self, owner: &order::OrderOwner) -> bool {
        owner.incarnation < self.ended.get(&owner.instance)
    }

    /// Returns whether the team may have another record.
    fn has_capacity_for(&self, team: &name::TeamName) -> bool {
        let free = self.limits.records.saturating_sub(self.usage.records);
        free > self.team_usage(team).records
    }

    /// Advances the ledger's time, and drops records whose window has passed.
    fn advance_time(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        for _ in 0..MAX_DROPS_PER_COMMAND {
            let Some((at_ms, hash)) = self.ends.first().copied() else {
                return;
            };
            if at_ms.saturating_add(self.limits.window_ms) > self.now_ms {
                return;
            }
            if !self.drop_record(at_ms, hash) {
                return;
            }
        }
    }

    /// Drops a record whose window has passed, and returns whether that was possible.
    fn drop_record(&mut self, at_ms: u64, hash: digest::ShortHash) -> bool {
        let Some(record) = self.records.get(&hash) else {
            return false;
        };
        let may_have_run = record
            .end
            .as_ref()
            .is_some_and(|end| end.outcome != order::OrderOutcome::NotRun);
        if may_have_run && !self.remember_key(at_ms, hash) {
            return false;
        }
        self.ends.remove(&(at_ms, hash));
        if let Some(record) = self.records.remove(&hash) {
            self.attempt_floor = self.attempt_floor.max(record.attempt);
            self.subtract_usage(&record);
        }
        true
    }

    /// Remembers the key of a record that is dropped, and returns whether that was possible.
    fn remember_key(&mut self, at_ms: u64, hash: digest::ShortHash) -> bool {
        if self.remembered.len() >= self.limits.remembered && !self.forget_oldest_key() {
            return false;
        }
        self.remembered.push_back(RememberedKey(hash.high(), at_ms));
        self.remembered_hashes.insert(hash.high());
        true
    }

    /// Forgets the oldest remembered key if its time has passed, and returns whether it did.
    fn forget_oldest_key(&mut self) -> bool {
        let Some(oldest) = self.remembered.front() else {
            return false;
        };
        if oldest.1.saturating_add(self.limits.remembered_ms) > self.now_ms {
            return false;
        }
        self.remembered_hashes.remove(&oldest.0);
        self.remembered.pop_front();
        true
    }

    fn add_usage(&mut self, record: &order::OrderRecord) {
        let bytes = record.answer_bytes();
        self.usage.add(bytes);
        self.team_usage
            .entry(record.team.clone())
            .or_default()
            .add(bytes);
    }

    fn subtract_usage(&mut self, record: &order::OrderRecord) {
        let bytes = record.answer_bytes();
        self.usage.remove(bytes);
        if let Some(usage) = self.team_usage.get_mut(&record.team) {
            usage.remove(bytes);
            if usage.records == 0 {
                self.team_usage.remove(&record.team);
            }
        }
    }
}

/// Returns the answer to a start while an attempt is running.
fn running_start(record: &order::OrderRecord, owner: &order::OrderOwner) -> order::OrderStart {
    if record.owner == *owner {
        return order::OrderStart::Begun {
            attempt: record.attempt,
        };
    }
    order::OrderStart::Running
}

/// Returns whether the outcome replaces the one in the record.
fn replaces_outcome(record: &order::OrderRecord, outcome: &order::OrderOutcome) -> bool {
    match &record.end {
        None => true,
        Some(end) => {
            end.outcome == order::OrderOutcome::Unknown
                && matches!(outcome, order::OrderOutcome::Answered(_))
        }
    }
}

fn key_hash(key: &order::OrderKey) -> digest::ShortHash {
    digest::ContentDigest::of_parts(&[
        key.team.as_bytes(),
        key.service.as_bytes(),
        key.key.as_bytes(),
    ])
    .short_hash()
}

fn content_hash(digest: &str) -> digest::ShortHash {
    digest::ContentDigest::of_parts(&[digest.as_bytes()]).short_hash()
}
