//! Bounds the loads from the weight store.

use std::collections;
use std::time;

use galenahold_domain::intent;

const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Bounds the loads from the weight store, by starts a second and by loads in flight.
///
/// In any second no more loads start than the limit says.
#[derive(Debug)]
pub struct StoreBudget {
    limits: intent::StoreLimits,
    /// When the loads of the last second started.
    starts: collections::VecDeque<time::Instant>,
    models_in_flight: u32,
    adapters_in_flight: u32,
}

impl StoreBudget {
    /// Returns a budget without loads.
    #[must_use]
    pub fn new(limits: intent::StoreLimits) -> Self {
        Self {
            limits,
            starts: collections::VecDeque::new(),
            models_in_flight: 0,
            adapters_in_flight: 0,
        }
    }

    /// Puts other limits in force.
    pub fn set_limits(&mut self, limits: intent::StoreLimits) {
        self.limits = limits;
    }

    /// Returns whether a model may be loaded from the store now.
    #[must_use]
    pub fn allows_model(&mut self, now: time::Instant) -> bool {
        self.drop_expired_starts(now);
        let max_starts = self.limits.loads_per_second as usize;
        self.starts.len() < max_starts && self.models_in_flight < self.limits.loads_in_flight
    }

    /// Returns whether an adapter may be loaded now.
    #[must_use]
    pub fn allows_adapter(&self) -> bool {
        self.adapters_in_flight < self.limits.adapters_in_flight
    }

    /// Counts the start of a model's load from the store.
    pub fn start_model(&mut self, now: time::Instant) {
        self.starts.push_back(now);
        self.models_in_flight += 1;
    }

    /// Counts the end of a model's load.
    pub fn end_model(&mut self) {
        self.models_in_flight = self.models_in_flight.saturating_sub(1);
    }

    /// Counts the start of an adapter's load.
    pub fn start_adapter(&mut self) {
        self.adapters_in_flight += 1;
    }

    /// Counts the end of an adapter's load.
    pub fn end_adapter(&mut self) {
        self.adapters_in_flight = self.adapters_in_flight.saturating_sub(1);
    }

    /// Returns the time that so many loads of models take to start.
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
