//! Settings of the grant ledger.

use std::time;

const DEFAULT_GRANT_EXPIRY: time::Duration = time::Duration::from_millis(1_500);
const DEFAULT_DRIFT_BOUND: time::Duration = time::Duration::from_millis(100);
const DEFAULT_PENDING_EXPIRY: time::Duration = time::Duration::from_millis(500);

/// Expiry times and the refill rule of the grant ledger.
#[derive(Debug, Clone)]
pub struct LedgerSettings {
    pub(super) grant_expiry: time::Duration,
    pub(super) drift_bound: time::Duration,
    pub(super) pending_expiry: time::Duration,
    pub(super) immediate_refill: bool,
}

impl LedgerSettings {
    /// Sets how long the tokens of a grant may be spent.
    #[must_use]
    pub fn with_grant_expiry(mut self, expiry: time::Duration) -> Self {
        self.grant_expiry = expiry;
        self
    }

    /// Sets the bound on how far two monotonic clocks drift apart before a grant expires.
    #[must_use]
    pub fn with_drift_bound(mut self, bound: time::Duration) -> Self {
        self.drift_bound = bound;
        self
    }

    /// Sets the time after which a pending demand is dropped if its holder does not repeat it.
    #[must_use]
    pub fn with_pending_expiry(mut self, expiry: time::Duration) -> Self {
        self.pending_expiry = expiry;
        self
    }

    /// Lets a new leadership refill its buckets from zero at once.
    ///
    /// By default it waits until no token that the earlier leader granted can be spent any more. Without
    /// the wait, a time window that includes a change of leader may exceed rate and burst by the tokens
    /// that were granted and not yet spent at the change. This excess is small, since instances hold
    /// little more than they spend in their prefetch horizon.
    #[must_use]
    pub fn with_immediate_refill(mut self) -> Self {
        self.immediate_refill = true;
        self
    }

    /// Returns how long after its start a leadership begins to refill its buckets.
    pub(super) fn refill_delay(&self) -> time::Duration {
        if self.immediate_refill {
            return time::Duration::ZERO;
        }
        self.write_off_after()
    }

    /// Returns the time, by the ledger's clock, after which a grant can no longer be spent.
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
