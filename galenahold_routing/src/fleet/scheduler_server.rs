//! The scheduler's state of one backend server.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::load;

/// How long a server that shed a call is skipped, so that it can work off its backlog.
const SHED_PAUSE: time::Duration = time::Duration::from_millis(30);

/// How long a server is skipped after the first failed connection; doubles with each further failure.
const UNREACHABLE_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Maximum time for which a server is skipped after failed connections.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Consecutive broken connections after which a server is skipped.
const BROKEN_THRESHOLD: u32 = 2;

/// How long a model that a server refused as not loaded counts as missing there, unless the roster
/// changes earlier: the roster of an instance without waiting calls lags by up to 400 ms.
const MISSING_TIME: time::Duration = time::Duration::from_millis(700);

/// The weight of the latest observation in the moving averages.
const LATEST_WEIGHT: f64 = 0.2;

/// How long after a success a server is used although its notices are overdue.
const SUCCESS_TRUST_TIME: time::Duration = time::Duration::from_secs(3);

/// How many times its own busyness is added for a server that fails every call.
const FAILURE_FACTOR: f64 = 8.0;

/// A backend server as one entry instance sees it: its roster record and the results of recent attempts.
#[derive(Debug)]
pub(super) struct SchedulerServer {
    pub(super) record: domain::ServerRecord,
    /// What this instance's calls use at this start of the server.
    pub(super) own: fleet::CallUse,
    /// When the present load was first seen in the roster.
    pub(super) loading_since: Option<time::Instant>,
    /// Adapters that the server is known to hold.
    pub(super) adapters: collections::HashSet<domain::HeldAdapter>,
    /// Models that the server does not hold although the roster lists them, and until when.
    missing: collections::HashMap<name::ModelName, time::Instant>,
    paused_until: Option<time::Instant>,
    consecutive_failures: u32,
    failure_share: f64,
    latency_s: Option<f64>,
    succeeded_at: Option<time::Instant>,
    /// What other instances use at this start of the server, as last heard.
    pub(super) others: Option<load::ServerLoad>,
    /// Mean of the unread prompt tokens of other instances' calls over recent views. A prompt is read sooner
    /// than a view arrives, so that a single view says little about the present.
    others_unread: f64,
    /// The time for an event relative to other servers, as last heard for this start of the server.
    pace: Option<f64>,
    /// The share of this instance in the free slots.
    pub(super) claims: fleet::ClaimLimit,
}

impl SchedulerServer {
    pub(super) fn new(record: domain::ServerRecord, now: time::Instant) -> Self {
        Self {
            loading_since: record.loading.is_some().then_some(now),
            adapters: record.adapters.iter().cloned().collect(),
            record,
            own: fleet::CallUse::default(),
            missing: collections::HashMap::new(),
            paused_until: None,
            consecutive_failures: 0,
            failure_share: 0.0,
            latency_s: None,
            succeeded_at: None,
            others: None,
            others_unread: 0.0,
            pace: None,
            claims: fleet::ClaimLimit::default(),
        }
    }

    /// Applies what other instances use at the server, unless that is about another start.
    pub(super) fn apply_load(&mut self, load: &load::ServerLoad, instances: u32) {
        if load.started_ms == self.record.started_ms {
            let change = f64::from(load.unread_tokens) - self.others_unread;
            self.others_unread += change * LATEST_WEIGHT;
            self.others = Some(load.clone());
            let is_usable = |pace: &f64| pace.is_finite() && *pace > 0.0;
            self.pace = load.pace.filter(is_usable).or(self.pace);
            self.claims.observe(fleet::SlotView {
                running: self.own.running.saturating_add(load.running),
                slots: self.record.slots,
                limit: self.limit(),
                instances,
                measured_at: load.measured_at,
            });
        }
    }

    /// Returns the number of calls of all instances at which the server takes no more: engines queue a few,
    /// and the view of others' calls is late.
    fn limit(&self) -> u32 {
        let slots = self.record.slots.max(1);
        slots + slots / 4
    }

    /// Returns what the calls of all instances use at the server, as far as it is known.
    pub(super) fn total(&self, weight: fleet::ViewWeight) -> fleet::CallUse {
        let mut total = self.own;
        if let Some(others) = &self.others {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a mean of token counts is one"
            )]
            let unread_tokens = self.others_unread as u32;
            total.add(weight.of(fleet::CallUse {
                running: others.running,
                unread_tokens,
                cache_tokens: others.cache_tokens,
            }));
        }
        total
    }

    /// Returns the time for an event relative to other servers; one if it is unknown.
    pub(super) fn pace(&self) -> f64 {
        self.pace.unwrap_or(1.0)
    }

    /// Returns the time for an event relative to other servers, if it is known.
    pub(super) fn known_pace(&self) -> Option<f64> {
        self.pace
    }

    /// Returns the share of the slots that the given calls take.
    pub(super) fn used_share(&self, used: fleet::CallUse) -> f64 {
        f64::from(used.running) / f64::from(self.record.slots.max(1))
    }

    /// Returns the number of slots whose calls this instance can replace as they end.
    pub(super) fn own_slots(&self, instances: u32) -> f64 {
        let even = f64::from(self.record.slots) * self.claims.share(instances);
        even.max(f64::from(self.own.running))
    }

    /// Returns whether the server takes another call, given what all instances use.
    ///
    /// An instance never exceeds the slots with its own calls, which it knows exactly. `chance` is uniform
    /// between zero and one for the call and the view; it decides whether the call may claim a slot that
    /// other instances may claim at the same time.
    pub(super) fn has_slot(
        &self,
        total: fleet::CallUse,
        weight: fleet::ViewWeight,
        chance: f64,
    ) -> bool {
        let slots = self.record.slots.max(1);
        let is_shared = total.running > self.own.running && !weight.is_stale();
        self.own.running < slots
            && total.running < self.limit()
            && (!is_shared || self.claims.allows(chance))
    }

    /// Applies a new roster record; if the server has restarted, all state is reset, as the calls in flight
    /// at the earlier start use nothing at the new one.
    pub(super) fn update(&mut self, record: domain::ServerRecord, now: time::Instant) {
        if record.started_ms != self.record.started_ms {
            *self = Self::new(record, now);
            return;
        }
        if record.loading != self.record.loading {
            self.loading_since = record.loading.is_some().then_some(now);
        }
        // An unchanged list is no newer than before, and attempts of this instance have shown more since.
        if record.adapters != self.record.adapters {
            self.adapters = record.adapters.iter().cloned().collect();
        }
        if record.models != self.record.models {
            self.missing.clear();
        }
        self.adapters
            .retain(|adapter| record.serves_model(&adapter.model));
        self.record = record;
    }

    /// Returns whether the server takes new calls.
    pub(super) fn is_open(&self, now: time::Instant) -> bool {
        let trusted = !self.record.silent
            || self
                .succeeded_at
                .is_some_and(|at| now.saturating_duration_since(at) < SUCCESS_TRUST_TIME);
        self.record.is_open() && trusted
    }

    /// Records that the server refused a call since it does not hold the model.
    ///
    /// Load pattern: rare models replace each other by the second, and a call arrives at an instance
    /// whose roster is older than the last replacement. Calls then wait for a load instead of being
    /// refused by the same server again.
    pub(super) fn mark_missing(&mut self, model: name::ModelName, now: time::Instant) {
        self.missing.insert(model, now + MISSING_TIME);
    }

    /// Returns whether calls for the model may be sent to the server.
    pub(super) fn serves_model(&self, model: &name::ModelName, now: time::Instant) -> bool {
        let missing = self.missing.get(model).is_some_and(|until| now < *until);
        !missing && self.record.serves_model(model)
    }

    /// Returns whether the server is skipped at present.
    pub(super) fn is_paused(&self, now: time::Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns how busy the server seems, from the calls in flight, latency and failures; lower is better.
    pub(super) fn busyness(&self, total: fleet::CallUse, min_latency: f64) -> f64 {
        let latency = self.latency_s.unwrap_or(min_latency);
        let slowness = (latency / min_latency.max(f64::EPSILON)).max(1.0);
        (f64::from(total.running) + 1.0) * slowness * self.failure_penalty()
    }

    /// Returns the factor by which the server seems busier since it fails calls.
    pub(super) fn failure_penalty(&self) -> f64 {
        1.0 + self.failure_share * FAILURE_FACTOR
    }

    /// Returns the moving average of the time to the first byte, in seconds.
    pub(super) fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Updates the averages and pauses from the result of an attempt.
    pub(super) fn observe(&mut self, report: fleet::AttemptReport, now: time::Instant) {
        match report {
            fleet::AttemptReport::Answered(elapsed) => {
                self.succeeded_at = Some(now);
                self.consecutive_failures = 0;
                self.failure_share *= 1.0 - LATEST_WEIGHT;
                let elapsed = elapsed.as_secs_f64();
                let known = self.latency_s.unwrap_or(elapsed);
                self.latency_s = Some(known + (elapsed - known) * LATEST_WEIGHT);
            }
            fleet::AttemptReport::Failed => self.count_failure(),
            fleet::AttemptReport::Slow => {
                self.count_failure();
                self.pause(SHED_PAUSE * 4, now);
            }
            fleet::AttemptReport::Shed => self.pause(SHED_PAUSE, now),
            fleet::AttemptReport::Unreachable => {
                self.count_failure();
                let doubled = UNREACHABLE_PAUSE * 2_u32.pow(self.consecutive_failures.min(4));
                self.consecutive_failures += 1;
                self.pause(doubled.min(MAX_PAUSE), now);
            }
            fleet::AttemptReport::Broken => {
                self.count_failure();
                self.consecutive_failures += 1;
                if self.consecutive_failures >= BROKEN_THRESHOLD {
                    self.pause(UNREACHABLE_PAUSE, now);
                }
            }
            fleet::AttemptReport::Misplaced | fleet::AttemptReport::Abandoned => {}
        }
    }

    fn count_failure(&mut self) {
        self.failure_share += (1.0 - self.failure_share) * LATEST_WEIGHT;
    }

    fn pause(&mut self, pause: time::Duration, now: time::Instant) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }
}
