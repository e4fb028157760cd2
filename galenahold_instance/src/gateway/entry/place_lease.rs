//! Ownership of a call's place at a backend server.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;
use galenahold_routing::fleet;
use galenahold_routing::load;
use log::info;

use crate::backend;
use crate::gateway::entry;

/// How long a server may be silent before a call that its caller drops counts as the server's
/// failure.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(1_200);

/// A call's place at a backend server; dropping the lease frees the place.
///
/// If a call is dropped because its caller left after a long silence of the server, the silence
/// counts against the server.
#[derive(Debug)]
pub(super) struct PlaceLease {
    /// Whether the call was sent to this server before.
    is_repeated: bool,
    /// Time of the server's last data or of the send; `None` while no data is expected.
    waiting_since: Option<time::Instant>,
    /// When the call was sent; when the place was taken if it was not sent.
    sent_at: time::Instant,
    dispatcher: entry::CallDispatcher,
    placement: fleet::CallPlacement,
    target: Option<fleet::ModelTarget>,
}

impl PlaceLease {
    pub(super) fn new(
        dispatcher: entry::CallDispatcher,
        placement: fleet::CallPlacement,
        target: Option<fleet::ModelTarget>,
    ) -> Self {
        Self {
            is_repeated: false,
            waiting_since: None,
            sent_at: time::Instant::now(),
            dispatcher,
            placement,
            target,
        }
    }

    /// Returns the server's name.
    pub(super) fn server(&self) -> &name::ServerName {
        &self.placement.server
    }

    /// Returns the adapter that has to be requested before the call is sent.
    pub(super) fn missing_adapter(&self) -> Option<domain::HeldAdapter> {
        let target = self
            .target
            .as_ref()
            .filter(|_| self.placement.needs_adapter);
        target.and_then(fleet::ModelTarget::held_adapter)
    }

    /// Returns the address at which the server accepts requests.
    pub(super) fn address(&self) -> backend::BackendAddress {
        backend::BackendAddress {
            server: self.placement.server.clone(),
            incarnation: amount::IncarnationNumber(self.placement.started_ms),
            socket: self.placement.address,
        }
    }

    /// Sends no call to this start of the server for the time that it stated.
    pub(super) fn close_server(&self, stated: time::Duration) {
        let placement = &self.placement;
        info!(
            server:% = placement.server,
            started_ms = placement.started_ms,
            stated_ms = u64::try_from(stated.as_millis()).unwrap_or(u64::MAX);
            "backend server turned a request away and wants a pause"
        );
        self.dispatcher
            .close(&placement.server, placement.started_ms, stated);
    }

    /// Returns the departure of this start of the server, which still finishes its requests.
    pub(super) fn departure(&self) -> domain::ServerDeparture {
        domain::ServerDeparture {
            name: self.placement.server.clone(),
            started_ms: self.placement.started_ms,
            stage: domain::DepartureStage::Draining,
        }
    }

    /// Returns whether the server still takes new requests: it may have drained, left or restarted
    /// since the call was placed there.
    pub(super) fn may_send(&self) -> bool {
        let placement = &self.placement;
        self.dispatcher
            .accepts(&placement.server, placement.started_ms)
    }

    /// Records whether the call was sent to this server before.
    pub(super) fn set_repeated(&mut self, is_repeated: bool) {
        self.is_repeated = is_repeated;
    }

    /// Returns whether the call was sent to this server before.
    pub(super) fn is_repeated(&self) -> bool {
        self.is_repeated
    }

    /// Records that the call is sent, and starts the measurement of the server's silence.
    pub(super) fn record_send(&mut self, moment: time::Instant) {
        self.sent_at = moment;
        self.start_waiting(moment);
    }

    /// Returns when the call was sent.
    pub(super) fn sent_at(&self) -> time::Instant {
        self.sent_at
    }

    /// Starts or restarts the measurement of the server's silence.
    pub(super) fn start_waiting(&mut self, moment: time::Instant) {
        self.waiting_since = Some(moment);
    }

    /// Stops the measurement of the server's silence, as no more data is expected.
    pub(super) fn stop_waiting(&mut self) {
        self.waiting_since = None;
    }

    /// Reports what the attempt showed about the server.
    pub(super) fn observe(&self, report: fleet::AttemptReport) {
        self.dispatcher
            .observe(&self.placement.server, self.target.as_ref(), report);
    }

    /// Reports that the server answered the request sent at `sent_at`.
    pub(super) fn observe_answer(&self, sent_at: time::Instant) {
        self.observe(fleet::AttemptReport::Answered(sent_at.elapsed()));
    }

    /// Records the time per event of an answer: median in microseconds and number of gaps.
    pub(super) fn record_pace(&self, (event_us, events): (u32, u32)) {
        let Some(target) = &self.target else {
            return;
        };
        let sample = load::PaceSample {
            model: target.model.clone(),
            event_us,
            events,
        };
        let placement = &self.placement;
        self.dispatcher
            .record_pace(&placement.server, placement.started_ms, sample);
    }

    /// Records that the first event of the answer has arrived.
    pub(super) fn begin_answer(&self) {
        let waited = self.sent_at.elapsed();
        self.dispatcher.begin_answer(self.placement.run, waited);
    }

    /// Records the mean time for an event of the answer.
    pub(super) fn record_events(&self, event: time::Duration) {
        self.dispatcher.record_events(self.placement.run, event);
    }

    /// Returns what the selection of the server was based on.
    pub(super) fn basis(&self) -> fleet::ChoiceBasis {
        self.placement.basis
    }

    /// Records that the server holds the adapter.
    pub(super) fn record_adapter(&self, adapter: domain::HeldAdapter) {
        self.dispatcher
            .record_adapter(&self.placement.server, adapter);
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
        self.dispatcher.finish(self.placement.run);
    }
}
