//! Permission for one further attempt of a call.

use std::sync;

use galenahold_domain::name;
use galenahold_routing::fleet;

/// One further attempt that was taken from the attempt budget; dropping it before the attempt is
/// sent gives it back.
#[derive(Debug)]
pub(super) struct RetryPermit {
    budget: sync::Arc<sync::Mutex<fleet::AttemptBudget>>,
    service: name::ServiceName,
    sent: bool,
}

impl RetryPermit {
    /// Takes one attempt from the budget; `None` if none is left.
    pub(super) fn take(
        budget: &sync::Arc<sync::Mutex<fleet::AttemptBudget>>,
        service: &name::ServiceName,
    ) -> Option<Self> {
        let spent = lock(budget).spend(service);
        spent.then(|| Self {
            budget: sync::Arc::clone(budget),
            service: service.clone(),
            sent: false,
        })
    }

    /// Records that the attempt is being sent.
    pub(super) fn start_send(&mut self) {
        self.sent = true;
    }

    /// Records that no byte of the attempt reached a server.
    pub(super) fn withdraw_send(&mut self) {
        self.sent = false;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.sent {
            lock(&self.budget).refund(&self.service);
        }
    }
}

fn lock(budget: &sync::Mutex<fleet::AttemptBudget>) -> sync::MutexGuard<'_, fleet::AttemptBudget> {
    budget.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
