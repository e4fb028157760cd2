//! Settings of the control side of rates.

use std::time;

const DEFAULT_GRANT_EXPIRY: time::Duration = time::Duration::from_millis(1_500);
const DEFAULT_DRIFT_BOUND: time::Duration = time::Duration::from_millis(100);
const DEFAULT_PENDING_EXPIRY: time::Duration = time::Duration::from_millis(500);

/// Settings of the control side of rates.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    pub(super) grant_expiry: time::Duration,
    pub(super) drift_bound: time::Duration,
    pub(super) pending_expiry: time::Duration,
    pub(super) immediate_refill: bool,
}

impl LedgerSettings {
    /// Returns the settings with another life of grants.
    #[must_use]
    pub fn with_grant_expiry(mut self, expiry: time::Duration) -> Self {
        self.grant_expiry = expiry;
        self
    }

    /// Returns the settings with another bound on how far two monotonic clocks drift apart in the
    /// life of a grant.
    #[must_use]
    pub fn with_drift_bound(mut self, bound: time::Duration) -> Self {
        self.drift_bound = bound;
        self
    }

    /// Returns the settings with another time after which an unrepeated demand is forgotten.
    #[must_use]
    pub fn with_pending_expiry(mut self, expiry: time::Duration) -> Self {
        self.pending_expiry = expiry;
        self
    }

    /// Returns the settings with which a new leadership refills its buckets, from zero, at once.
    ///
    /// Otherwise it waits until all that the leader before it lent can no longer be spent. Without the
    /// wait a span across a change of leader may hold more than rate and burst, by what was lent and
    /// not yet spent at the change; instances hold little more than they spend in their prefetch
    /// horizon.
    #[must_use]
    pub fn with_immediate_refill(mut self) -> Self {
        self.immediate_refill = true;
        self
    }

    /// Returns how long after its begin a leadership starts to refill.
    pub(super) fn refill_delay(&self) -> time::Duration {
        if self.immediate_refill {
            return time::Duration::ZERO;
        }
        self.write_off_after()
    }

    /// Returns the time after which a grant can no longer be spent, by the ledger's clock.
    pub(super) fn write_off_after(&self) -> time::Duration {
        self.grant_expiry + self.drift_bound
    }
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            grant_expiry: DEFAULT_GRANT_EXPIRY,
            drift_bound: DEFAULT_DRIFT_BOUND,
            pending_expiry: DEFAULT_PENDING_EXPIRY,
            immediate_refill: false,
        }
    }
}
