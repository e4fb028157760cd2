//! What a call does whose adapter does not come.

use std::time;

use galenahold_domain::name;

/// Engines that are asked for an adapter until the call rests.
const ATTEMPTS_PER_ROUND: usize = 3;

/// The shortest rest, so that calls do not keep the leader busy: a few times its answer's way.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(40);

/// The longest rest: meanwhile another engine may have got the model.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(400);

/// What a call does whose adapter does not come to the engines that it was placed at.
///
/// It answers for adapters that are asked for while engines exchange models, or while a new leader gives no
/// orders yet: many calls meet an engine that cannot take an adapter for a second or two, which is less
/// than their callers wait.
#[derive(Debug, Default)]
pub struct AdapterRetries {
    refused: Vec<name::ServerName>,
    earliest_retry: Option<time::Duration>,
}

/// What the call does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterStep {
    /// It asks for the adapter at another engine.
    Other,
    /// It rests, then any engine may be asked again.
    Rest(time::Duration),
    /// Its caller would wait in vain, and may come back after this time, if it is known.
    GiveUp(Option<time::Duration>),
}

impl AdapterRetries {
    /// Returns the engines that refused the adapter since the last rest.
    #[must_use]
    pub fn refused(&self) -> &[name::ServerName] {
        &self.refused
    }

    /// Notes a refusal, and decides what the call does that can wait for `time_left`.
    ///
    /// `retry_in` is when the engine is expected to take the adapter; none where it never will.
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
            return AdapterStep::Other;
        }
        match self.earliest_retry {
            Some(earliest_retry) if earliest_retry < time_left => {
                *self = Self::default();
                AdapterStep::Rest(earliest_retry.clamp(MIN_BACKOFF, MAX_BACKOFF))
            }
            earliest_retry => AdapterStep::GiveUp(earliest_retry),
        }
    }
}
