//! Input of one planning round.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Input of one planning round for one service.
///
/// Records and demand do not change during a round, so what depends on them alone is derived once:
/// a round compares every needed model with every model that every engine holds.
pub(super) struct PlanRound<'a> {
    pub(super) service: &'a name::ServiceName,
    pub(super) engine: &'a declaration::DeclaredEngine,
    pub(super) records: Vec<&'a domain::ServerRecord>,
    pub(super) now: time::Instant,
    pub(super) models: collections::HashMap<&'a name::ModelName, &'a declaration::DeclaredModel>,
    /// The memory of one engine for weights, without that for its adapter slots.
    pub(super) weight_bytes: u64,
    pub(super) standings: collections::HashMap<name::ModelName, fleet::ModelStanding>,
    /// Expected requests per second at each usable engine.
    pub(super) engine_rates: collections::HashMap<&'a name::ServerName, f64>,
    /// The mean of `engine_rates`.
    pub(super) mean_rate: f64,
    /// Mean duration of a run, by the numbers of running requests and of requests per second.
    pub(super) run_time: time::Duration,
}

impl<'a> PlanRound<'a> {
    /// Returns the declared model with this name.
    pub(super) fn model(&self, name: &name::ModelName) -> Option<&'a declaration::DeclaredModel> {
        self.models.get(name).copied()
    }

    /// Returns the expected requests per second at an engine.
    pub(super) fn engine_rate(&self, server: &name::ServerName) -> f64 {
        self.engine_rates.get(server).copied().unwrap_or(0.0)
    }

    /// Returns the free memory for weights at an engine. The memory for all adapter slots counts as
    /// occupied.
    pub(super) fn free_bytes(&self, record: &domain::ServerRecord) -> u64 {
        let models = record.models.iter();
        let held: u64 = models
            .map(|held| self.model(&held.name).map_or(0, |model| model.weights.0))
            .sum();
        self.weight_bytes.saturating_sub(held)
    }

    /// Returns the standing of a model; that of an unknown model is empty.
    pub(super) fn standing(&self, model: &name::ModelName) -> fleet::ModelStanding {
        self.standings.get(model).copied().unwrap_or_default()
    }
}
