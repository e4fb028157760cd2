//! What an entry instance serves callers with.

use std::sync;

use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::backend;
use crate::configuration;
use crate::gateway;
use crate::gateway::control;
use crate::gateway::entry;
use crate::peer;
use crate::platform;
use crate::rate;
use crate::task;

/// What an entry instance serves callers with.
pub(crate) struct EntryParts<Dialect> {
    /// The platform's words.
    pub(crate) dialect: Dialect,
    /// The configuration with its confirmation.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The declaration in force.
    pub(crate) declarations: gateway::DeclarationCache<Dialect>,
    /// Lets requests wait right after the start.
    pub(crate) gate: entry::StartGate<Dialect>,
    /// Finds backend servers.
    pub(crate) dispatcher: entry::CallDispatcher,
    /// Tokens of teams.
    pub(crate) limiter: rate::RateLimiter,
    /// Reaches the leader.
    pub(crate) client: peer::ControlClient<control::FleetHandler<Dialect>>,
    /// Reaches backend servers.
    pub(crate) backend: backend::BackendClient,
    /// Attempts beyond the first of each call.
    pub(crate) budget: sync::Arc<sync::Mutex<fleet::AttemptBudget>>,
    /// Metrics.
    pub(crate) metrics: platform::FleetMetrics,
    /// Whether a planned stop is under way.
    pub(crate) readiness: platform::ReadinessState,
    /// The tasks that relay streams.
    pub(crate) work: task::TaskGroup,
}

impl<Dialect> EntryParts<Dialect> {
    /// Counts a first attempt.
    pub(crate) fn earn_retry(&self, service: &name::ServiceName) {
        self.lock_budget().earn(service);
    }

    /// Takes a further attempt out of the budget; false if there is none.
    pub(crate) fn spend_retry(&self, service: &name::ServiceName) -> bool {
        let spent = self.lock_budget().spend(service);
        if spent {
            self.metrics.retries.inc();
        }
        spent
    }

    fn lock_budget(&self) -> sync::MutexGuard<'_, fleet::AttemptBudget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
