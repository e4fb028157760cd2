//! Time limits and identity of the placement engine.

use std::time;

use galenahold_domain::{amount, name};

const DEFAULT_TAKEOVER_WAIT: time::Duration = time::Duration::from_secs(12);
const DEFAULT_SERVER_EXPIRY: time::Duration = time::Duration::from_secs(4);
const DEFAULT_SERVER_LOST_AFTER: time::Duration = time::Duration::from_secs(10);
const DEFAULT_DRAIN_NOTICE: time::Duration = time::Duration::from_secs(2);
const DEFAULT_DEMAND_EXPIRY: time::Duration = time::Duration::from_secs(5);
const DEFAULT_WORK_EXPIRY: time::Duration = time::Duration::from_secs(30);
const DEFAULT_SCALE_UP_AFTER: time::Duration = time::Duration::from_secs(5);
const DEFAULT_ORDER_RETRY: time::Duration = time::Duration::from_secs(1);
const DEFAULT_MIN_RESIDENCY: time::Duration = time::Duration::from_secs(10);
const DEFAULT_STARVING_AFTER: time::Duration = time::Duration::from_secs(5);
const DEFAULT_OBSERVATION_MARGIN: time::Duration = time::Duration::from_secs(2);

/// Settings of the placement engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    pub(super) instance: name::InstanceName,
    pub(super) incarnation: amount::IncarnationNumber,
    pub(super) takeover_wait: time::Duration,
    pub(super) server_expiry: time::Duration,
    pub(super) server_lost_after: time::Duration,
    pub(super) drain_notice: time::Duration,
    pub(super) demand_expiry: time::Duration,
    pub(super) work_expiry: time::Duration,
    pub(super) scale_up_after: time::Duration,
    pub(super) order_retry: time::Duration,
    pub(super) min_residency: time::Duration,
    pub(super) starving_after: time::Duration,
    pub(super) observation_margin: time::Duration,
}

impl EngineSettings {
    /// Creates the default settings for the instance that leads.
    #[must_use]
    pub fn new(instance: name::InstanceName, incarnation: amount::IncarnationNumber) -> Self {
        Self {
            instance,
            incarnation,
            takeover_wait: DEFAULT_TAKEOVER_WAIT,
            server_expiry: DEFAULT_SERVER_EXPIRY,
            server_lost_after: DEFAULT_SERVER_LOST_AFTER,
            drain_notice: DEFAULT_DRAIN_NOTICE,
            demand_expiry: DEFAULT_DEMAND_EXPIRY,
            work_expiry: DEFAULT_WORK_EXPIRY,
            scale_up_after: DEFAULT_SCALE_UP_AFTER,
            order_retry: DEFAULT_ORDER_RETRY,
            min_residency: DEFAULT_MIN_RESIDENCY,
            starving_after: DEFAULT_STARVING_AFTER,
            observation_margin: DEFAULT_OBSERVATION_MARGIN,
        }
    }

    /// Sets how long a new leader waits before it touches anything that an earlier leader ordered:
    /// the earlier leader's lease plus the time limit of an order.
    #[must_use]
    pub fn with_takeover_wait(mut self, wait: time::Duration) -> Self {
        self.takeover_wait = wait;
        self
    }

    /// Sets the age from which a server's announcement is too old for the server to get loads.
    #[must_use]
    pub fn with_server_expiry(mut self, expiry: time::Duration) -> Self {
        self.server_expiry = expiry;
        self
    }

    /// Sets how long a server has to be silent before its replicas are replaced.
    #[must_use]
    pub fn with_server_lost_after(mut self, lost: time::Duration) -> Self {
        self.server_lost_after = lost;
        self
    }

    /// Sets the time within which all instances learn that a replica is draining.
    #[must_use]
    pub fn with_drain_notice(mut self, notice: time::Duration) -> Self {
        self.drain_notice = notice;
        self
    }

    /// Sets how long demand has to exceed the loaded replicas before another replica is loaded.
    #[must_use]
    pub fn with_scale_up_after(mut self, after: time::Duration) -> Self {
        self.scale_up_after = after;
        self
    }

    /// Sets the pause before an unanswered order is repeated.
    #[must_use]
    pub fn with_order_retry(mut self, retry: time::Duration) -> Self {
        self.order_retry = retry;
        self
    }

    /// Sets the minimum time for which a replica with running requests stays loaded.
    #[must_use]
    pub fn with_min_residency(mut self, residency: time::Duration) -> Self {
        self.min_residency = residency;
        self
    }

    /// Sets how long requests have to wait before replicas with running requests may be drained for
    /// them.
    #[must_use]
    pub fn with_starving_after(mut self, after: time::Duration) -> Self {
        self.starving_after = after;
        self
    }
}
