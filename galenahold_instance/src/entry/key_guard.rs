//! Guard that rechecks a caller's authorization while its request is in progress.

use std::time;

use galenahold_domain::name;
use tokio::sync::watch;

use crate::api;
use crate::configuration;
use crate::entry;

/// Checks that a request is authorized: on arrival, right before each send, and while it is in
/// progress.
#[derive(Debug, Clone)]
pub(crate) struct KeyGuard {
    identity: entry::CallerIdentity,
    service: name::ServiceName,
    cache: configuration::ConfigurationCache,
    revisions: watch::Receiver<u64>,
}

impl KeyGuard {
    /// Creates a guard for a caller's use of a service.
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

    /// Checks the caller's key and the service against the active configuration.
    ///
    /// # Errors
    ///
    /// The kind of refusal if the request may not run.
    pub(crate) fn check(&self) -> Result<(), api::RefusalKind> {
        // Freshness is read first: the configuration that is read afterwards is at least as new.
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
        // A key never moves to another team, so a different team means that the key was withdrawn
        // and its name was reused for a new one.
        if self.identity.team() != Some(&team.name) {
            return Err(api::RefusalKind::KeyWithdrawn);
        }
        if !index.may_call(&self.service, Some(&team.name)) {
            return Err(api::RefusalKind::Forbidden);
        }
        Ok(())
    }

    /// Checks the authorization right before a send.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the request may not run.
    pub(crate) fn check_before_send(&self) -> Result<(), api::RequestRefusal> {
        self.check().map_err(|kind| {
            api::RequestRefusal::not_run(kind, "the key no longer authorizes the request")
        })
    }

    /// Waits until the request is no longer authorized, and returns the kind of its refusal.
    pub(crate) async fn revoked(&mut self) -> api::RefusalKind {
        loop {
            if let Err(kind) = self.check() {
                return kind;
            }
            let recheck = self.recheck_at();
            let changed = self.revisions.changed();
            // The sender outlives this guard, which holds a handle to the cache that owns it.
            let _ = tokio::time::timeout_at(recheck.into(), changed).await;
        }
    }

    /// Returns when to check again: once the configuration becomes stale if no confirmation
    /// follows, or periodically on an open route.
    fn recheck_at(&self) -> time::Instant {
        const SLACK: time::Duration = time::Duration::from_millis(1);
        const OPEN_ROUTE_PERIOD: time::Duration = time::Duration::from_secs(1);
        match (self.identity.key(), self.cache.fresh_until()) {
            (Some(_), Some(until)) => until + SLACK,
            _ => time::Instant::now() + OPEN_ROUTE_PERIOD,
        }
    }
}
