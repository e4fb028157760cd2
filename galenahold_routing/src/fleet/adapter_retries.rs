//! Retries of a call whose adapter is refused by engines.

use std::time;

use galenahold_domain::name;

/// Engines that are asked for an adapter before the call backs off.
const ATTEMPTS_PER_ROUND: usize = 3;

/// Minimum backoff: a few round trips to the leader, so that retries do not overload it.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(40);

/// Maximum backoff: another engine may have loaded the model in the meantime.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(400);

/// Decides whether a call asks another engine for its adapter, backs off or gives up.
///
/// Engines cannot load adapters for a second or two while they exchange models, or while a new leader gives
/// no orders yet. Most callers wait longer than that, so their calls retry instead of failing.
#[derive(Debug, Default)]
pub struct AdapterRetries {
    refused: Vec<name::ServerName>,
    earliest_retry: Option<time::Duration>,
}

/// The next step of a call whose adapter was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterStep {
    /// Ask another engine for the adapter at once.
    TryOther,
    /// Wait for this time; then every engine may be asked again.
    Backoff(time::Duration),
    /// Refuse the call, since the adapter would come too late; holds the time after which the caller may
    /// retry, if known.
    GiveUp(Option<time::Duration>),
}

impl AdapterRetries {
    /// Returns the engines that refused the adapter since the last backoff.
    #[must_use]
    pub fn refused(&self) -> &[name::ServerName] {
        &self.refused
    }

    /// Records a refusal and returns the next step of a call that can wait for `time_left`.
    ///
    /// `retry_in` is the time until the engine is expected to accept the adapter; `None` if it never will.
    pub fn refuse(
        &mut self,
        server: name::ServerName,
        retry_in: Option<time::Duration>,
        time_left: time::Duration,
    ) -> AdapterStep {
        let already_refused = self.refused.contains(&server);
        self.refused.push(server);
        self.earliest_retry = match (self.earliest_retry, retry_in) {
            (Some(known), Some(new)) => Some(known.min(new)),
            (known, new) => known.or(new),
        };
        if !already_refused && self.refused.len() < ATTEMPTS_PER_ROUND {
            return AdapterStep::TryOther;
        }
        match self.earliest_retry {
            Some(earliest_retry) if earliest_retry < time_left => {
                *self = Self::default();
                AdapterStep::Backoff(earliest_retry.clamp(MIN_BACKOFF, MAX_BACKOFF))
            }
            earliest_retry => AdapterStep::GiveUp(earliest_retry),
        }
    }
}
