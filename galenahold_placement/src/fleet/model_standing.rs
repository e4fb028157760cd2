//! What one planning round knows about a model.

use std::time;

use crate::fleet::load_costs;

/// Copies of and demand for one model at the start of a planning round.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ModelStanding {
    /// Usable engines that serve the model.
    pub(super) held: usize,
    /// Number of engines of mean speed that serve as much as those.
    pub(super) capacity: f64,
    /// Whether any engine holds the model or has its weights nearby.
    pub(super) has_copy: bool,
    /// Requests per second for the model.
    pub(super) rate: f64,
    /// Requests per second at an engine that serves the model, those for other models included; the
    /// mean over all such engines.
    pub(super) engine_rate: f64,
    /// Value of having the model loaded at all.
    pub(super) value: f64,
    /// Shortest time in which a usable engine could load the model.
    pub(super) nearest_load: time::Duration,
    /// Weighted calls that a load of the model would serve per second of its duration.
    pub(super) urgency: f64,
    /// Calls that wait for the model.
    pub(super) waiting: u32,
    /// When the first waiting call misses its objective.
    pub(super) earliest_due: Option<time::Instant>,
    /// When the last waiting call leaves; `None` if no call waits, or more are sure to come.
    pub(super) leaves_by: Option<time::Instant>,
    /// Age of the last demand report for the model.
    pub(super) demand_age: Option<time::Duration>,
    /// Requests for the model that run.
    pub(super) running: u32,
    /// Whether the model is hardly requested.
    pub(super) idle: bool,
}

impl ModelStanding {
    /// Returns whether further calls for the model are sure to come.
    pub(super) fn is_popular(&self) -> bool {
        self.rate >= load_costs::POPULAR_RATE
    }
}
