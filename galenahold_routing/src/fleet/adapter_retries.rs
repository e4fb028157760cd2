//! What a call does whose adapter does not come.

use std::time;

use galenahold_domain::name;

/// Engines that are asked for an adapter until the call rests.
const TRIES_IN_A_ROW: usize = 3;

/// The shortest rest, so that calls do not keep the leader busy: a few times its answer's way.
const SHORTEST_REST: time::Duration = time::Duration::from_millis(40);

/// The longest rest: meanwhile another engine may have got the model.
const LONGEST_REST: time::Duration = time::Duration::from_millis(400);

/// What a call does whose adapter does not come to the engines that it was placed at.
///
/// It answers for adapters that are asked for while engines exchange models, or while a new leader gives no
/// orders yet: many calls meet an engine that cannot take an adapter for a second or two, which is less
/// than their callers wait.
#[derive(Debug, Default)]
pub struct AdapterRetries {
    refused: Vec<name::ServerName>,
    earliest: Option<time::Duration>,
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

    /// Notes a refusal, and decides what the call does that can wait for `left`.
    ///
    /// `retry_in` is when the engine is expected to take the adapter; none where it never will.
    pub fn refuse(
        &mut self,
        server: name::ServerName,
        retry_in: Option<time::Duration>,
        left: time::Duration,
    ) -> AdapterStep {
        let seen = self.refused.contains(&server);
        self.refused.push(server);
        self.earliest = match (self.earliest, retry_in) {
            (Some(known), Some(new)) => Some(known.min(new)),
            (known, new) => known.or(new),
        };
        if !seen && self.refused.len() < TRIES_IN_A_ROW {
            return AdapterStep::Other;
        }
        match self.earliest {
            Some(earliest) if earliest < left => {
                *self = Self::default();
                AdapterStep::Rest(earliest.clamp(SHORTEST_REST, LONGEST_REST))
            }
            earliest => AdapterStep::GiveUp(earliest),
        }
    }
}
