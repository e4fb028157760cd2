//! An entry instance's view of the loads of all instances.

use std::sync;
use std::time;

use galenahold_routing::load;
use log::info;

use crate::gateway::entry;
use crate::platform;

/// Minimum time between two log lines about received views.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Keeps the load view and passes what other instances use to the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct LoadFollower {
    state: sync::Arc<sync::Mutex<FollowerState>>,
    dispatcher: entry::CallDispatcher,
    metrics: platform::FleetMetrics,
    /// When the instance started, from which the age of a missing view is counted.
    started_at: time::Instant,
}

#[derive(Debug, Default)]
struct FollowerState {
    view: load::LoadView,
    logged_at: Option<time::Instant>,
}

impl LoadFollower {
    /// Creates a follower without a view.
    pub(crate) fn new(dispatcher: entry::CallDispatcher, metrics: platform::FleetMetrics) -> Self {
        Self {
            state: sync::Arc::default(),
            dispatcher,
            metrics,
            started_at: time::Instant::now(),
        }
    }

    /// Returns the version of the view.
    pub(super) fn version(&self) -> load::LoadVersion {
        self.lock().view.version()
    }

    /// Applies an update that was received just now.
    pub(super) fn take(&self, update: &load::LoadUpdate) {
        let now = time::Instant::now();
        let mut state = self.lock();
        if !state.view.apply(update, now) {
            return;
        }
        self.metrics.load_view_updates.inc();
        let is_logged = state
            .logged_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL);
        if !is_logged {
            state.logged_at = Some(now);
            info!(
                term = update.version.term,
                version = update.version.version,
                servers = state.view.server_count(),
                full = update.is_full,
                age_ms = update.age_ms;
                "load view received"
            );
        }
        let loads: Vec<_> = state.view.loads().collect();
        let paces: Vec<_> = state.view.model_paces().collect();
        drop(state);
        self.dispatcher.apply_loads(&loads, &paces);
    }

    /// Records a list of own uses that the leader confirmed.
    pub(super) fn record_report(&self, uses: &[load::ServerUse], sent_at: time::Instant) {
        self.lock().view.record_report(uses, sent_at);
    }

    /// Updates the metric of the view's age.
    pub(super) fn update_age(&self) {
        let now = time::Instant::now();
        let age = self.lock().view.age(now);
        let age = age.unwrap_or_else(|| now.saturating_duration_since(self.started_at));
        self.metrics.load_view_age.set(age.as_secs_f64());
    }

    fn lock(&self) -> sync::MutexGuard<'_, FollowerState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
