//! Limits loads from the weight store and loads of adapters.

use std::collections;
use std::time;

use galenahold_domain::intent;

/// Interval over which the start rate is limited.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Limits loads from the weight store by starts per second and by loads in flight.
///
/// The limit on starts holds for any interval of one second.
#[derive(Debug)]
pub struct StoreBudget {
    limits: intent::StoreLimits,
    /// Start times of the loads within the last second.
    starts: collections::VecDeque<time::Instant>,
    models_in_flight: u32,
    adapters_in_flight: u32,
}

impl StoreBudget {
    /// Creates a budget with no loads in flight.
    #[must_use]
    pub fn new(limits: intent::StoreLimits) -> Self {
        Self {
            limits,
            starts: collections::VecDeque::new(),
            models_in_flight: 0,
            adapters_in_flight: 0,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: intent::StoreLimits) {
        self.limits = limits;
    }

    /// Returns whether a model load from the store may start now.
    #[must_use]
    pub fn allows_model_load(&mut self, now: time::Instant) -> bool {
        self.drop_expired_starts(now);
        let max_starts = self.limits.loads_per_second as usize;
        self.starts.len() < max_starts && self.models_in_flight < self.limits.loads_in_flight
    }

    /// Returns whether an adapter load may start now.
    #[must_use]
    pub fn allows_adapter_load(&self) -> bool {
        self.adapters_in_flight < self.limits.adapters_in_flight
    }

    /// Records the start of a model load from the store.
    pub fn start_model_load(&mut self, now: time::Instant) {
        self.starts.push_back(now);
        self.models_in_flight += 1;
    }

    /// Records the end of a model load from the store.
    pub fn end_model_load(&mut self) {
        self.models_in_flight = self.models_in_flight.saturating_sub(1);
    }

    /// Records the start of an adapter load.
    pub fn start_adapter_load(&mut self) {
        self.adapters_in_flight += 1;
    }

    /// Records the end of an adapter load.
    pub fn end_adapter_load(&mut self) {
        self.adapters_in_flight = self.adapters_in_flight.saturating_sub(1);
    }

    /// Returns how long the start rate limit takes to admit this many model loads.
    #[must_use]
    pub fn queue_delay(&self, loads: u32) -> time::Duration {
        let rate = f64::from(self.limits.loads_per_second.max(1));
        time::Duration::from_secs_f64(f64::from(loads) / rate)
    }

    fn drop_expired_starts(&mut self, now: time::Instant) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.saturating_duration_since(*start) >= RATE_WINDOW)
        {
            self.starts.pop_front();
        }
    }
}
