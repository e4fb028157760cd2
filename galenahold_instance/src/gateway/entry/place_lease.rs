//! A call's place at a backend server.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::backend;
use crate::gateway::entry;

/// A call's place at a backend server; dropping it frees the place.
#[derive(Debug)]
pub(super) struct PlaceLease {
    dispatcher: entry::CallDispatcher,
    placement: fleet::CallPlacement,
    service: name::ServiceName,
    target: Option<fleet::ModelTarget>,
}

impl PlaceLease {
    /// Takes over a place.
    pub(super) fn new(
        dispatcher: entry::CallDispatcher,
        placement: fleet::CallPlacement,
        service: name::ServiceName,
        target: Option<fleet::ModelTarget>,
    ) -> Self {
        Self {
            dispatcher,
            placement,
            service,
            target,
        }
    }

    /// Returns the server.
    pub(super) fn server(&self) -> &name::ServerName {
        &self.placement.server
    }

    /// Returns the adapter that has to be asked for before the call is sent.
    pub(super) fn wanted_adapter(&self) -> Option<domain::HeldAdapter> {
        let target = self
            .target
            .as_ref()
            .filter(|_| self.placement.needs_adapter);
        target.and_then(fleet::ModelTarget::held_adapter)
    }

    /// Returns where the server takes requests.
    pub(super) fn address(&self) -> backend::BackendAddress {
        backend::BackendAddress {
            server: self.placement.server.clone(),
            incarnation: amount::IncarnationNumber(self.placement.started_ms),
            socket: self.placement.address,
        }
    }

    /// Says what the attempt showed of the server.
    pub(super) fn observe(&self, report: fleet::AttemptReport) {
        self.dispatcher
            .observe(&self.placement.server, self.target.as_ref(), report);
    }

    /// Says that the server answered what was sent at `sent_at`.
    pub(super) fn observe_answer(&self, sent_at: time::Instant) {
        self.observe(fleet::AttemptReport::Answered(sent_at.elapsed()));
    }

    /// Says that the server holds the adapter.
    pub(super) fn learn_adapter(&self, adapter: domain::HeldAdapter) {
        self.dispatcher
            .learn_adapter(&self.placement.server, adapter);
    }
}

impl Drop for PlaceLease {
    fn drop(&mut self) {
        self.dispatcher
            .finish(&self.placement.server, self.target.as_ref(), &self.service);
    }
}
