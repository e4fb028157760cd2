//! Retry policy of calls.

use std::sync;
use std::time;

use galenahold_domain::verdict;
use galenahold_routing::retry;
use galenahold_settings::RetrySettings;

/// Decides whether a failed attempt is retried and after which delay, within the instance's retry
/// budget.
#[derive(Debug, Clone)]
pub(crate) struct AttemptPolicy {
    rule: retry::RetryRule,
    budget: sync::Arc<sync::Mutex<retry::RetryBudget>>,
    backoff_min: time::Duration,
    backoff_max: time::Duration,
}

impl AttemptPolicy {
    /// The number of retries per second that are always allowed, so that an instance with little
    /// traffic can retry at all.
    const MIN_RETRIES_PER_SECOND: u32 = 10;

    /// Creates the policy from the settings.
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        let budget = retry::RetryBudget::new(
            u32::try_from(settings.budget_per_cent()).unwrap_or(u32::MAX),
            Self::MIN_RETRIES_PER_SECOND,
            time::Instant::now(),
        );
        Self {
            rule: retry::RetryRule::new(u32::try_from(settings.max_attempts()).unwrap_or(u32::MAX)),
            budget: sync::Arc::new(sync::Mutex::new(budget)),
            backoff_min: settings.backoff_min(),
            backoff_max: settings.backoff_max(),
        }
    }

    /// Returns a new backoff for one request.
    pub(crate) fn backoff(&self) -> retry::RetryBackoff {
        retry::RetryBackoff::new(self.backoff_min, self.backoff_max)
    }

    /// Counts the first attempt of a request, which adds to the retry budget.
    pub(crate) fn count_request(&self) {
        self.lock().deposit();
    }

    /// Returns the delay before the next attempt and withdraws one retry from the budget; `None` if
    /// there must be no further attempt.
    pub(crate) fn next_delay(
        &self,
        backoff: &mut retry::RetryBackoff,
        verdict: verdict::RequestVerdict,
        idempotent: bool,
        attempts: u32,
        deadline: time::Instant,
    ) -> Option<time::Duration> {
        let now = time::Instant::now();
        let left = deadline.saturating_duration_since(now);
        let pause = backoff.next_pause(&mut rand::rng());
        let decision = self.rule.decide(verdict, idempotent, attempts, pause, left);
        let retry::RetryDecision::Retry { pause } = decision else {
            return None;
        };
        self.lock().withdraw(now).then_some(pause)
    }

    fn lock(&self) -> sync::MutexGuard<'_, retry::RetryBudget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
