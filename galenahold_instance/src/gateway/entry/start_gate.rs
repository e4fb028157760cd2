//! Lets requests wait for the first confirmation of the configuration.

use std::time;

use galenahold_routing::fleet;
use tokio::sync as tokio_sync;

use crate::configuration;
use crate::gateway;

/// Requests that may wait at once; each holds a connection and the head of a request.
const MAX_WAITING: usize = 256;

/// Lets requests wait for the first confirmation of the configuration at an instance that just started.
#[derive(Debug)]
pub(crate) struct StartGate<Dialect> {
    rule: fleet::StartWait,
    holder: configuration::ConfigurationCache,
    declared: gateway::DeclarationCache<Dialect>,
    places: tokio_sync::Semaphore,
}

impl<Dialect: gateway::FleetDialect> StartGate<Dialect> {
    /// Creates the gate of an instance that starts now.
    pub(crate) fn new(
        holder: configuration::ConfigurationCache,
        declared: gateway::DeclarationCache<Dialect>,
    ) -> Self {
        Self {
            rule: fleet::StartWait::new(time::Instant::now()),
            holder,
            declared,
            places: tokio_sync::Semaphore::new(MAX_WAITING),
        }
    }

    /// Waits until the configuration is confirmed, if that is soon expected; returns whether it waited.
    pub(super) async fn pass(
        &self,
        arrived: time::Instant,
        patience: Option<time::Duration>,
    ) -> bool {
        let mut confirmations = self.holder.subscribe_confirmations();
        let mut declarations = self.declared.subscribe();
        if self.is_open() {
            return false;
        }
        let Some(until) = self.rule.until(arrived, patience) else {
            return false;
        };
        let Ok(_place) = self.places.try_acquire() else {
            return false;
        };
        while !self.is_open() {
            tokio::select! {
                _ = confirmations.changed() => {}
                _ = declarations.changed() => {}
                () = tokio::time::sleep_until(until.into()) => break,
            }
        }
        true
    }

    fn is_open(&self) -> bool {
        self.holder.is_fresh() && self.declared.index().is_some()
    }
}
