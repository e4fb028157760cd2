//! Sharded request counters.

use std::collections;
use std::hash;
use std::hash::BuildHasher;
use std::sync;
use std::time;

use galenahold_domain::intent;
use galenahold_domain::name;

use crate::count;
use crate::snapshot;

const SHARD_COUNT: usize = 16;

/// Records the outcome and latency of requests per service and team.
///
/// It is called on the request path: pairs of service and team are distributed over shards, so that
/// requests of different pairs rarely contend for a lock, and a lock is held for a few additions only.
///
/// # Examples
///
/// ```
/// use std::time;
/// use galenahold_domain::{intent, name};
/// use galenahold_report::{ObjectiveRecorder, RequestMeasurement, RequestOutcome, TokenGapCounts};
///
/// let start = time::Instant::now();
/// let recorder = ObjectiveRecorder::new(start);
/// let measurement = RequestMeasurement {
///     outcome: RequestOutcome::Answered,
///     wait: time::Duration::from_millis(3),
///     first_token: Some(time::Duration::from_millis(200)),
///     token_gaps: TokenGapCounts { met: 40, missed: 1 },
/// };
/// let objective = intent::ServiceObjective::default();
/// recorder.record(&"drafts".into(), &"councils".into(), &objective, &measurement, start);
/// let snapshot = recorder.snapshot(&"kibaha-1".into(), start);
/// assert_eq!(snapshot.entries.len(), 1);
/// ```
#[derive(Debug)]
pub struct ObjectiveRecorder {
    start: time::Instant,
    hasher: hash::RandomState,
    shards: [sync::Mutex<CounterShard>; SHARD_COUNT],
}

type CounterShard = collections::HashMap<CounterKey, count::ObjectiveCounter>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CounterKey {
    service: name::ServiceName,
    team: name::TeamName,
}

impl ObjectiveRecorder {
    /// Creates a recorder with no requests; `start` is the origin of its bucket times.
    #[must_use]
    pub fn new(start: time::Instant) -> Self {
        Self {
            start,
            hasher: hash::RandomState::new(),
            shards: std::array::from_fn(|_| sync::Mutex::default()),
        }
    }

    /// Counts one request against the objective of its service.
    pub fn record(
        &self,
        service: &name::ServiceName,
        team: &name::TeamName,
        objective: &intent::ServiceObjective,
        measurement: &count::RequestMeasurement,
        now: time::Instant,
    ) {
        let key = CounterKey {
            service: service.clone(),
            team: team.clone(),
        };
        let elapsed = now.saturating_duration_since(self.start);
        let mut shard = lock(self.shard_of(&key));
        let counter = shard
            .entry(key)
            .or_insert_with(count::ObjectiveCounter::new);
        counter.record(objective, measurement, elapsed);
    }

    /// Returns the counts of this instance at the time `now`.
    #[must_use]
    pub fn snapshot(
        &self,
        instance: &name::InstanceName,
        now: time::Instant,
    ) -> snapshot::BurnSnapshot {
        let elapsed = now.saturating_duration_since(self.start);
        let mut entries = Vec::new();
        for shard in &self.shards {
            let shard = lock(shard);
            entries.extend(shard.iter().map(|(key, counter)| snapshot::BurnEntry {
                service: key.service.clone(),
                team: key.team.clone(),
                targets: counter.targets(),
                windows: counter.windows(elapsed),
                history: counter.history(elapsed),
            }));
        }
        snapshot::BurnSnapshot::new(instance.clone(), entries)
    }

    fn shard_of(&self, key: &CounterKey) -> &sync::Mutex<CounterShard> {
        let hash = self.hasher.hash_one(key);
        let index = usize::try_from(hash % SHARD_COUNT as u64).unwrap_or_default();
        &self.shards[index]
    }
}

/// Locks a shard, ignoring poisoning: each addition is complete by itself, so that the counts stay usable
/// after a panic of another thread.
fn lock(shard: &sync::Mutex<CounterShard>) -> sync::MutexGuard<'_, CounterShard> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
