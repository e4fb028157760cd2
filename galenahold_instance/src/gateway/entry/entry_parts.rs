//! Shared state of the callers' request handlers.

use std::sync;

use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::backend;
use crate::buffer;
use crate::configuration;
use crate::crash;
use crate::gateway;
use crate::gateway::control;
use crate::gateway::entry;
use crate::peer;
use crate::platform;
use crate::rate;
use crate::task;

/// Shared state with which an entry instance serves callers.
pub(crate) struct EntryParts<Dialect> {
    /// Translates between the platform's messages and the gateway's types.
    pub(crate) dialect: Dialect,
    /// The configuration and the age of its confirmation.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The active declaration.
    pub(crate) declarations: gateway::DeclarationCache<Dialect>,
    /// Holds requests right after the start until the configuration is confirmed.
    pub(crate) gate: entry::StartGate<Dialect>,
    /// Assigns calls to backend servers.
    pub(crate) dispatcher: entry::CallDispatcher,
    /// Charges teams' tokens.
    pub(crate) limiter: rate::RateLimiter,
    /// Recognizes callers that retry after a rejection.
    pub(crate) returns: entry::ReturnMonitor,
    /// Sends calls to the leader.
    pub(crate) client: peer::ControlClient<control::FleetHandler<Dialect>>,
    /// Sends requests to backend servers.
    pub(crate) backend: backend::BackendClient,
    /// Bounds the memory of callers' bodies.
    pub(crate) body_buffers: buffer::BufferBudget,
    /// Bounds the memory of events that callers have not read yet.
    pub(crate) read_ahead: buffer::ReadAheadBudget,
    /// Closes backend servers that leave.
    pub(crate) departures: entry::DepartureReporter,
    /// Detects requests that crash backend servers.
    pub(crate) crashes: crash::CrashMonitor,
    /// The expected length of answers.
    pub(crate) outputs: entry::OutputEstimates,
    /// Bounds attempts beyond the first of each call.
    pub(crate) budget: sync::Arc<sync::Mutex<fleet::AttemptBudget>>,
    /// Metrics of this instance.
    pub(crate) metrics: platform::FleetMetrics,
    /// Whether a planned stop is in progress.
    pub(crate) readiness: platform::ReadinessState,
    /// Cancelled when calls have to be answered as they are because the instance stops.
    pub(crate) last_answers: tokio_util::sync::CancellationToken,
    /// The tasks that relay streams.
    pub(crate) work: task::TaskGroup,
}

impl<Dialect> EntryParts<Dialect> {
    /// Credits the attempt budget with a first attempt.
    pub(crate) fn earn_retry(&self, service: &name::ServiceName) {
        self.lock_budget().earn(service);
    }

    /// Takes one further attempt from the budget; `None` if none is left.
    pub(super) fn spend_retry(&self, service: &name::ServiceName) -> Option<entry::RetryPermit> {
        let permit = entry::RetryPermit::take(&self.budget, service);
        if permit.is_some() {
            self.metrics.retries.inc();
        }
        permit
    }

    fn lock_budget(&self) -> sync::MutexGuard<'_, fleet::AttemptBudget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
