//! Adaptive limit on concurrent loads from the weight store.

use std::time;

/// Limit before the store's throughput is known. Loads that an earlier leader ordered may still be
/// in progress, and every known store handles two at full speed.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Highest limit, however fast the store is: each load in progress holds memory that serves no
/// request yet.
const MAX_CONCURRENT_LOADS: usize = 8;

/// Factor by which a load may exceed its declared time and still count as one at full speed, since
/// engines report what they hold only about once a second.
const FULL_SPEED_FACTOR: f64 = 1.25;

/// How long the limit is not raised after a slow load.
const RAISE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Time within which engines may start loads in another order than they were ordered: orders travel
/// separately, and a sender may pause.
const START_SPREAD: time::Duration = time::Duration::from_millis(200);

/// Age from which a group of loads no longer counts; a load is treated as unanswered earlier.
const GROUP_EXPIRY: time::Duration = time::Duration::from_mins(2);

/// Learns how many concurrent loads the weight store handles at full speed.
///
/// A store handles a few loads at full speed. The number in progress at the start of a load fixes how
/// long it takes: a further one is slower for its whole duration, also when the others end early. The
/// number at full speed is not declared, so it is inferred from load times. The limit matters when
/// many rare models are requested at once: with fewer concurrent loads each load is faster, and the
/// model with the most demand is ready first.
///
/// Loads that were ordered within 200 ms of each other may have started in any order. They are
/// evaluated together once all have ended: the shortest counts as the first to start.
#[derive(Debug)]
pub(super) struct StoreThroughput {
    max_concurrent_loads: usize,
    full_speed_loads: usize,
    may_raise_from: Option<time::Instant>,
    groups: Vec<StartGroup>,
}

/// Loads that may have started in any order.
#[derive(Debug)]
struct StartGroup {
    last_start: time::Instant,
    /// Other loads that were certainly in progress before the first load of the group.
    certain_before: usize,
    /// Other loads that may have been in progress before the first load of the group.
    possible_before: usize,
    /// The numbers of the loads' orders, and their slowdown once they have ended.
    loads: Vec<(u64, Option<f64>)>,
}

impl StoreThroughput {
    /// Returns the maximum number of concurrent loads.
    pub(super) fn max_concurrent_loads(&self) -> usize {
        self.max_concurrent_loads
    }

    /// Returns the number of concurrent loads that are known to run at full speed.
    pub(super) fn full_speed_loads(&self) -> usize {
        self.full_speed_loads
    }

    /// Records the start of a load by the number of its order. Of the other loads, `certain` are in
    /// progress and up to `possible` may be.
    pub(super) fn record_start(
        &mut self,
        number: u64,
        certain: usize,
        possible: usize,
        now: time::Instant,
    ) {
        if let Some(group) = self.groups.last_mut()
            && now.saturating_duration_since(group.last_start) < START_SPREAD
        {
            group.last_start = now;
            group.loads.push((number, None));
            return;
        }
        // Loads of engines that left or restarted never end.
        self.groups
            .retain(|group| now.saturating_duration_since(group.last_start) < GROUP_EXPIRY);
        self.groups.push(StartGroup {
            last_start: now,
            certain_before: certain,
            possible_before: possible,
            loads: vec![(number, None)],
        });
    }

    /// Forgets a load that was not executed.
    pub(super) fn record_refusal(&mut self, number: u64, now: time::Instant) {
        for group in &mut self.groups {
            group.loads.retain(|(load, _)| *load != number);
        }
        self.evaluate(now);
    }

    /// Forgets a load of unknown outcome, with those that may have started after it.
    pub(super) fn record_unknown(&mut self, number: u64) {
        self.groups
            .retain(|group| !group.loads.iter().any(|(load, _)| *load == number));
    }

    /// Records the duration of a load that has ended, and returns how many loads may have been in
    /// progress when it started, including itself.
    pub(super) fn record_end(
        &mut self,
        number: u64,
        declared: time::Duration,
        took: time::Duration,
        now: time::Instant,
    ) -> usize {
        let slowdown = took.as_secs_f64() / declared.as_secs_f64().max(f64::MIN_POSITIVE);
        let mut highest_position = 1;
        for group in &mut self.groups {
            let count = group.loads.len();
            for load in group.loads.iter_mut().filter(|load| load.0 == number) {
                load.1 = Some(slowdown);
                highest_position = group.possible_before + count;
            }
        }
        if slowdown > FULL_SPEED_FACTOR {
            // A slow load lowers the limit at once, whichever of its group it was.
            self.lower(highest_position, slowdown, now);
        }
        self.evaluate(now);
        highest_position
    }

    /// Evaluates the groups of which all loads have ended.
    fn evaluate(&mut self, now: time::Instant) {
        let is_open = |group: &StartGroup| {
            now.saturating_duration_since(group.last_start) < START_SPREAD
                || group.loads.iter().any(|(_, slowdown)| slowdown.is_none())
        };
        let ended: Vec<_> = self
            .groups
            .extract_if(.., |group| !is_open(group))
            .collect();
        for group in ended {
            let slowdowns = group.loads.iter().filter_map(|(_, slowdown)| *slowdown);
            let mut slowdowns: Vec<_> = slowdowns.collect();
            slowdowns.sort_by(f64::total_cmp);
            for (index, slowdown) in slowdowns.into_iter().enumerate() {
                if slowdown > FULL_SPEED_FACTOR {
                    self.lower(group.possible_before + index + 1, slowdown, now);
                } else {
                    self.raise(group.certain_before + index + 1, now);
                }
            }
        }
    }

    fn raise(&mut self, position: usize, now: time::Instant) {
        if self.may_raise_from.is_some_and(|from| now < from) {
            return;
        }
        let proven = position.min(MAX_CONCURRENT_LOADS);
        self.full_speed_loads = self.full_speed_loads.max(proven);
        let raised = (position + 1).min(MAX_CONCURRENT_LOADS);
        self.max_concurrent_loads = self.max_concurrent_loads.max(raised);
    }

    fn lower(&mut self, position: usize, slowdown: f64, now: time::Instant) {
        let handled =
            full_speed_loads(position, slowdown).clamp(MIN_CONCURRENT_LOADS, MAX_CONCURRENT_LOADS);
        self.max_concurrent_loads = self.max_concurrent_loads.min(handled);
        self.full_speed_loads = self.full_speed_loads.min(handled);
        self.may_raise_from = Some(now + RAISE_PAUSE);
    }
}

impl Default for StoreThroughput {
    fn default() -> Self {
        Self {
            max_concurrent_loads: MIN_CONCURRENT_LOADS,
            full_speed_loads: MIN_CONCURRENT_LOADS,
            may_raise_from: None,
            groups: Vec::new(),
        }
    }
}

/// Returns how many loads the store handles at full speed, given the slowdown of one of
/// `concurrent_loads`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the count is small and the slowdown is above one"
)]
fn full_speed_loads(concurrent_loads: usize, slowdown: f64) -> usize {
    (concurrent_loads as f64 / slowdown).round() as usize
}
