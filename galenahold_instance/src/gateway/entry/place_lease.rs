//! A call's place at a backend server.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;
use galenahold_routing::fleet;

use crate::backend;
use crate::gateway::entry;

/// How long a server may be silent until it, rather than its caller, is held to have given up.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(1_200);

/// A call's place at a backend server; dropping it frees the place.
///
/// A call that is dropped after a long silence of its server, since its caller has left, counts against
/// the server.
#[derive(Debug)]
pub(super) struct PlaceLease {
    /// When the server was last heard of, or the call was sent; `None` while nothing is expected of it.
    waiting_since: Option<time::Instant>,
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
            waiting_since: None,
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
    pub(super) fn missing_adapter(&self) -> Option<domain::HeldAdapter> {
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

    /// Says that something is expected of the server from now on.
    pub(super) fn start_waiting(&mut self, moment: time::Instant) {
        self.waiting_since = Some(moment);
    }

    /// Says that nothing more is expected of the server.
    pub(super) fn stop_waiting(&mut self) {
        self.waiting_since = None;
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
        if self
            .waiting_since
            .is_some_and(|at| at.elapsed() >= SILENCE_LIMIT)
        {
            self.observe(fleet::AttemptReport::Slow);
        }
        self.dispatcher
            .finish(&self.placement.server, self.target.as_ref(), &self.service);
    }
}
