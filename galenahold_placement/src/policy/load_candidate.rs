//! A model or adapter that waits to be loaded.

use std::time;

/// A model or adapter that waits to be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCandidate {
    /// Requests that wait for it.
    pub waiting: u32,
    /// The same, with the requests of teams counted less for which much was loaded of late.
    pub fair_waiting: f64,
    /// How long the oldest request waits.
    pub oldest_wait: time::Duration,
    /// How long the load should take.
    pub expected_load: time::Duration,
}
