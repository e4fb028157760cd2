//! The share of an instance in the free slots of a contested server.

use std::time;

/// Minimum time between two changes of the factor: a view is up to this late, so that an earlier one does
/// not show the effect of the last change.
const CHANGE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Factor by which an instance may claim more after slots stayed free.
const GROWTH: f64 = 2.0;

/// Growth at a server that is less than half used.
const FAST_GROWTH: f64 = 4.0;

/// Limits the calls that one instance sends to a server for whose slots instances compete.
///
/// When the view of a full server shows free slots, all instances see them at once, each with calls that wait.
/// Without a limit they would all send some, and the server would turn most of them away. An instance
/// that saw the server beyond its limit therefore claims an even share of the free slots in the time by which
/// views are late, and more as long as slots stay free. It replaces its own calls as they end without delay.
#[derive(Debug, Default)]
pub(super) struct ClaimLimit {
    /// How many even shares the instance may claim; `None` while the server is not contested.
    factor: Option<f64>,
    changed_at: Option<time::Instant>,
    view_at: Option<time::Instant>,
    /// Calls that may be sent until the next view.
    allowed: f64,
    /// Calls that were sent since the last view.
    claims: u32,
    /// Own calls that have ended since the last view and were not replaced.
    freed: u32,
    /// Whether the last view showed the server beyond its limit, so that ended calls are not replaced.
    is_full: bool,
}

/// The use of a server's slots as a view shows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotView {
    /// Calls of all instances.
    pub(super) running: u32,
    /// The server's slots.
    pub(super) slots: u32,
    /// The number of calls at which the server takes no more.
    pub(super) limit: u32,
    /// The number of instances.
    pub(super) instances: u32,
    /// When the view was summed up.
    pub(super) measured_at: time::Instant,
}

impl ClaimLimit {
    /// Applies a new view.
    pub(super) fn observe(&mut self, view: SlotView) {
        let instances = f64::from(view.instances.max(1));
        let is_due = self
            .changed_at
            .is_none_or(|at| view.measured_at.saturating_duration_since(at) >= CHANGE_PERIOD);
        if view.running >= view.limit {
            self.factor = Some(1.0);
            self.changed_at = Some(view.measured_at);
        } else if is_due && view.running < view.slots {
            let growth = if view.running < view.slots / 2 {
                FAST_GROWTH
            } else {
                GROWTH
            };
            self.factor = self
                .factor
                .map(|factor| factor * growth)
                .filter(|factor| *factor < instances);
            self.changed_at = Some(view.measured_at);
        }
        let elapsed = self.view_at.map_or(CHANGE_PERIOD, |at| {
            view.measured_at.saturating_duration_since(at)
        });
        if elapsed.is_zero() {
            return;
        }
        self.view_at = Some(view.measured_at);
        self.claims = 0;
        self.freed = 0;
        self.is_full = view.running >= view.limit;
        let room = f64::from(view.limit.saturating_sub(view.running));
        self.allowed = room * self.share(view.instances) * elapsed.min(CHANGE_PERIOD).as_secs_f64();
    }

    /// Returns the share of the server's slots that the instance may claim.
    pub(super) fn share(&self, instances: u32) -> f64 {
        let instances = f64::from(instances.max(1));
        self.factor
            .map_or(1.0, |factor| (factor / instances).min(1.0))
    }

    /// Returns whether another call may be sent; `chance` is uniform between zero and one for the call and
    /// the view, and rounds the number of allowed calls.
    pub(super) fn allows(&self, chance: f64) -> bool {
        self.factor.is_none() || self.freed > 0 || f64::from(self.claims) + chance < self.allowed
    }

    /// Records that a call was sent.
    pub(super) fn claim(&mut self) {
        if self.freed > 0 {
            self.freed -= 1;
        } else {
            self.claims += 1;
        }
    }

    /// Records that an own call has ended.
    pub(super) fn free(&mut self) {
        if self.factor.is_some() && !self.is_full {
            self.freed += 1;
        }
    }
}
