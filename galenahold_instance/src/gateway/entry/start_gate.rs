//! Wait for the first confirmation of the configuration.

use std::time;

use galenahold_routing::fleet;
use tokio::sync as tokio_sync;

use crate::configuration;
use crate::gateway;

/// Maximum number of requests that wait at once; each holds a connection and a request head.
const MAX_WAITING: usize = 256;

/// Holds requests at an instance that just started until its configuration is first confirmed.
#[derive(Debug)]
pub(crate) struct StartGate<Dialect> {
    rule: fleet::StartWait,
    cache: configuration::ConfigurationCache,
    declarations: gateway::DeclarationCache<Dialect>,
    permits: tokio_sync::Semaphore,
}

impl<Dialect: gateway::FleetDialect> StartGate<Dialect> {
    /// Creates the gate of an instance that starts now.
    pub(crate) fn new(
        cache: configuration::ConfigurationCache,
        declarations: gateway::DeclarationCache<Dialect>,
    ) -> Self {
        Self {
            rule: fleet::StartWait::new(time::Instant::now()),
            cache,
            declarations,
            permits: tokio_sync::Semaphore::new(MAX_WAITING),
        }
    }

    /// Waits until the configuration is confirmed, if that is expected soon; returns whether it
    /// waited.
    pub(super) async fn pass(
        &self,
        arrived: time::Instant,
        call_timeout: Option<time::Duration>,
    ) -> bool {
        let mut confirmations = self.cache.subscribe_confirmations();
        let mut declaration_changes = self.declarations.subscribe();
        if self.is_open() {
            return false;
        }
        let Some(deadline) = self.rule.until(arrived, call_timeout) else {
            return false;
        };
        let Ok(_permit) = self.permits.try_acquire() else {
            return false;
        };
        while !self.is_open() {
            tokio::select! {
                _ = confirmations.changed() => {}
                _ = declaration_changes.changed() => {}
                () = tokio::time::sleep_until(deadline.into()) => break,
            }
        }
        true
    }

    fn is_open(&self) -> bool {
        self.cache.is_fresh() && self.declarations.index().is_some()
    }
}
