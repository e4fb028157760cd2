//! Checks again and again that a request may run.

use std::time;

use galenahold_domain::name;
use tokio::sync::watch;

use crate::api;
use crate::configuration;
use crate::entry;

/// Checks that a request may run: when it comes, right before each send, and while its answer streams.
#[derive(Debug, Clone)]
pub(crate) struct KeyGuard {
    identity: entry::CallerIdentity,
    service: name::ServiceName,
    cache: configuration::ConfigurationCache,
    revisions: watch::Receiver<u64>,
}

impl KeyGuard {
    /// Creates a guard over a caller's use of a service.
    pub(crate) fn new(
        identity: entry::CallerIdentity,
        service: name::ServiceName,
        cache: configuration::ConfigurationCache,
    ) -> Self {
        let revisions = cache.subscribe();
        Self {
            identity,
            service,
            cache,
            revisions,
        }
    }

    /// Checks the key and the service against the configuration in force.
    ///
    /// # Errors
    ///
    /// The kind of refusal where the request may not run.
    pub(crate) fn check(&self) -> Result<(), api::RefusalKind> {
        // Freshness is looked at first: what is in force after that is at least as new.
        let fresh = self.cache.is_fresh();
        let index = self.cache.index();
        let Some(key) = self.identity.key() else {
            return if index.may_call(&self.service, None) {
                Ok(())
            } else {
                Err(api::RefusalKind::Unauthorized)
            };
        };
        if !fresh {
            return Err(api::RefusalKind::StaleConfiguration);
        }
        let team = index
            .admitted_team(key)
            .ok_or(api::RefusalKind::KeyWithdrawn)?;
        // A key never moves to another team, so a changed team is a new key under an old name.
        if self.identity.team() != Some(&team.name) {
            return Err(api::RefusalKind::KeyWithdrawn);
        }
        if !index.may_call(&self.service, Some(&team.name)) {
            return Err(api::RefusalKind::Forbidden);
        }
        Ok(())
    }

    /// Checks right before a send.
    ///
    /// # Errors
    ///
    /// A refusal of a request that did not run.
    pub(crate) fn check_before_send(&self) -> Result<(), api::RequestRefusal> {
        self.check().map_err(|kind| {
            api::RequestRefusal::not_run(kind, "the key no longer admits the request")
        })
    }

    /// Waits until the request may run no longer.
    pub(crate) async fn revoked(&mut self) -> api::RefusalKind {
        loop {
            if let Err(kind) = self.check() {
                return kind;
            }
            let recheck = self.recheck_at();
            let changed = self.revisions.changed();
            // The sender lives as long as the holder, which this guard holds.
            let _ = tokio::time::timeout_at(recheck.into(), changed).await;
        }
    }

    /// Returns when the configuration would become stale without a further confirmation.
    fn recheck_at(&self) -> time::Instant {
        const SLACK: time::Duration = time::Duration::from_millis(1);
        const OPEN_ROUTE_PERIOD: time::Duration = time::Duration::from_secs(1);
        match (self.identity.key(), self.cache.fresh_until()) {
            (Some(_), Some(until)) => until + SLACK,
            _ => time::Instant::now() + OPEN_ROUTE_PERIOD,
        }
    }
}
