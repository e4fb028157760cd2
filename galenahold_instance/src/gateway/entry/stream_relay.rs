//! Relay of event streams to callers.

use std::sync;
use std::time;

use galenahold_routing::fleet;
use http::{Response, header, response};
use log::info;

use crate::api;
use crate::backend;
use crate::gateway;
use crate::gateway::entry;
use crate::rate;

/// Why a stream ends whose connection to the server broke.
const CONNECTION_BROKEN: &str = "connection_broken";

/// Relays a stream of events to its caller, and resumes it at another server where that is allowed.
///
/// Only complete events are forwarded, so that a stream resumed at another server continues
/// seamlessly. Dropping the exchange with the server cancels the request there.
pub(super) struct StreamRelay<Dialect> {
    parts: sync::Arc<entry::EntryParts<Dialect>>,
    call: entry::RoutedCall,
    plan: entry::AttemptPlan,
    /// Settles the team's tokens when the stream ends.
    _charge: Option<rate::TokenCharge>,
    lease: entry::PlaceLease,
    exchange: backend::BackendExchange,
    splitter: entry::EventSplitter,
    /// The media type of the stream, which the rest from another server must have too.
    media_type: Option<String>,
    /// Whether the stream goes on at another server than the one that began it.
    is_resumed: bool,
    last_id: Option<String>,
    events: u64,
    last_event: Option<time::Instant>,
    longest_pause: time::Duration,
}

/// The outcome of one step of the relay.
enum RelayStep {
    Continue,
    Ended,
    Cut(&'static str),
    CallerLeft,
    /// The prompt was blocked before the first event.
    Blocked,
    /// The caller's connection accepted nothing more until the deadline.
    CallerStalled,
}

impl<Dialect: gateway::FleetDialect> StreamRelay<Dialect> {
    /// Creates a relay for an answer that has started.
    pub(super) fn new(
        parts: sync::Arc<entry::EntryParts<Dialect>>,
        call: entry::RoutedCall,
        plan: entry::AttemptPlan,
        charge: Option<rate::TokenCharge>,
        lease: entry::PlaceLease,
        exchange: backend::BackendExchange,
    ) -> Self {
        Self {
            media_type: media_type(exchange.head()),
            is_resumed: false,
            parts,
            call,
            plan,
            _charge: charge,
            lease,
            exchange,
            splitter: entry::EventSplitter::default(),
            last_id: None,
            events: 0,
            last_event: None,
            longest_pause: time::Duration::ZERO,
        }
    }

    /// Starts the relay and returns the response to the caller.
    pub(super) fn start(self) -> Response<api::AnswerBody> {
        let (sender, body) = api::AnswerBody::stream();
        let mut response = Response::new(body);
        let head = self.exchange.head();
        *response.status_mut() = head.status;
        *response.headers_mut() = self.parts.dialect.answer_headers(&head.headers);
        // The stream may resume at another server, so the first server's length does not apply.
        response.headers_mut().remove(header::CONTENT_LENGTH);
        let work = self.parts.work.clone();
        work.spawn(self.relay(sender));
        response
    }

    async fn relay(mut self, sender: api::StreamSender) {
        self.lease.start_waiting(time::Instant::now());
        loop {
            match self.step(&sender).await {
                RelayStep::Continue => {}
                RelayStep::Ended => {
                    self.log("complete");
                    sender.finish();
                    self.lease.stop_waiting();
                    self.exchange.finish();
                    return;
                }
                RelayStep::CallerLeft => {
                    self.log("caller_left");
                    return;
                }
                RelayStep::CallerStalled => {
                    self.log("caller_stalled");
                    return;
                }
                RelayStep::Blocked => {
                    self.log("prompt_blocked");
                    return;
                }
                RelayStep::Cut(reason) => {
                    if self.resume(reason).await {
                        continue;
                    }
                    // Dropping the sender closes the caller's connection without the end of the answer.
                    self.log(reason);
                    return;
                }
            }
        }
    }

    async fn step(&mut self, sender: &api::StreamSender) -> RelayStep {
        let chunk = tokio::select! {
            chunk = self.exchange.next_chunk() => chunk,
            () = sender.closed() => return RelayStep::CallerLeft,
            () = tokio::time::sleep_until(self.call.deadline.into()) => {
                return RelayStep::Cut("deadline");
            }
            _ = self.parts.crashes.wait_until_blocked(&self.call.shared_parts), if self.events == 0 => {
                return RelayStep::Blocked;
            }
        };
        match chunk {
            Ok(Some(chunk)) => {
                if !self.splitter.push(&chunk) {
                    return RelayStep::Cut("event_too_large");
                }
                self.forward_events(sender).await
            }
            Ok(None) if self.splitter.is_empty() => RelayStep::Ended,
            Ok(None) => RelayStep::Cut("ended_within_event"),
            Err(_) => RelayStep::Cut(CONNECTION_BROKEN),
        }
    }

    async fn forward_events(&mut self, sender: &api::StreamSender) -> RelayStep {
        while let Some(event) = self.splitter.next_event() {
            if self.is_resumed && !follows(event.id.as_deref(), self.last_id.as_deref()) {
                return RelayStep::Cut("rest_starts_over");
            }
            self.count_event();
            if event.id.is_some() {
                self.last_id = event.id;
            }
            // A caller that stops reading must not hold its place at the server for ever.
            let sending = sender.send(event.bytes);
            match tokio::time::timeout_at(self.call.deadline.into(), sending).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayStep::CallerLeft,
                Err(_) => return RelayStep::CallerStalled,
            }
        }
        RelayStep::Continue
    }

    fn count_event(&mut self) {
        let now = time::Instant::now();
        let pause = self
            .last_event
            .map_or(time::Duration::ZERO, |last| now - last);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_event = Some(now);
        self.lease.start_waiting(now);
        if self.events == 0 {
            self.parts.crashes.record_start(&self.call.shared_parts);
        }
        self.events += 1;
    }

    /// Resumes a cut stream at another server; returns `false` if that is not possible.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.lease.observe(fleet::AttemptReport::Broken);
        self.plan.record_possible_run();
        if self.events == 0 && reason == CONNECTION_BROKEN {
            let parts = sync::Arc::clone(&self.parts);
            let resending = parts.may_resend_broken(&self.call, &self.lease, true);
            if !resending.await {
                return false;
            }
        }
        let in_time = time::Instant::now() < self.call.deadline;
        if !in_time || !self.plan.may_repeat() || !self.parts.spend_retry(&self.call.service) {
            return false;
        }
        let Some((mut lease, exchange)) = self.send_again().await else {
            return false;
        };
        info!(
            request = self.call.metadata.id.as_deref().unwrap_or("-"),
            from:% = self.lease.server(),
            to:% = lease.server(),
            after = self.last_id.as_deref().unwrap_or("-"),
            reason = reason;
            "stream resumed at another server"
        );
        self.parts.metrics.resumed.inc();
        self.exchange = exchange;
        lease.start_waiting(time::Instant::now());
        self.lease.stop_waiting();
        self.lease = lease;
        self.splitter = entry::EventSplitter::default();
        self.is_resumed = true;
        true
    }

    /// Sends the call for the rest of its stream; a server that could not be sent to is replaced by
    /// another one.
    async fn send_again(&mut self) -> Option<(entry::PlaceLease, backend::BackendExchange)> {
        while self.plan.may_resend() {
            let requirements = self.call.requirements(self.plan.tried().to_vec());
            let placed = self.parts.dispatcher.place(requirements, true).await;
            let mut lease = placed.ok()?;
            if let Some(adapter) = lease.missing_adapter() {
                let client = entry::AdapterClient::new(&self.parts.client);
                let loaded = client.request_load(lease.server(), &adapter, self.call.deadline);
                if let entry::AdapterAnswer::Refused { .. } = loaded.await {
                    return None;
                }
                lease.record_adapter(adapter);
            }
            if self.parts.crashes.check(&self.call.shared_parts).is_some() {
                return None;
            }
            lease.set_repeated(self.plan.was_sent_to(lease.server()));
            self.plan.record_send(lease.server());
            let sending = self.parts.attempt(
                &self.call,
                &mut lease,
                self.call.deadline,
                self.last_id.as_deref(),
            );
            match sending.await {
                entry::AttemptEnd::Stream(exchange) => {
                    if media_type(exchange.head()) == self.media_type {
                        return Some((lease, exchange));
                    }
                    lease.observe(fleet::AttemptReport::Failed);
                    return None;
                }
                entry::AttemptEnd::Unsent(_) => {}
                _ => return None,
            }
        }
        None
    }

    fn log(&self, reason: &str) {
        info!(
            request = self.call.metadata.id.as_deref().unwrap_or("-"),
            server:% = self.lease.server(),
            events = self.events,
            longest_pause_ms = u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX),
            took_ms = u64::try_from(self.call.arrived.elapsed().as_millis()).unwrap_or(u64::MAX),
            reason = reason;
            "stream ended"
        );
    }
}

/// Returns the media type that an answer states, without parameters.
fn media_type(head: &response::Parts) -> Option<String> {
    let value = head.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let essence = value.split(';').next().unwrap_or_default();
    Some(essence.trim().to_ascii_lowercase())
}

/// Returns whether an event can follow the last one that was passed on; an event without an id can.
fn follows(id: Option<&str>, last: Option<&str>) -> bool {
    let (Some(id), Some(last)) = (id, last) else {
        return true;
    };
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
