//! Relay of event streams to callers.

use std::sync;
use std::time;

use galenahold_routing::fleet;
use galenahold_routing::load;
use http::{Response, header, response};
use log::info;

use crate::api;
use crate::backend;
use crate::crash;
use crate::gateway;
use crate::gateway::entry;
use crate::rate;

/// Why a stream ends whose connection to the server broke.
const CONNECTION_BROKEN: &str = "connection_broken";

/// Minimum number of events of one server from which the time for an event is learned.
const MIN_EVENTS: u32 = 4;

/// Why a stream ends whose deadline passes.
const DEADLINE: &str = "deadline";

/// Why a stream ends whose caller reads the slowest of all when memory is short.
const SLOW_READER: &str = "slow_reader";

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
    phase: RelayPhase,
    last_id: Option<String>,
    events: u64,
    /// When the first event arrived, counted from the request's arrival.
    first_event: Option<time::Duration>,
    /// When the first event of the present server arrived, and how many have arrived since.
    segment: Option<(time::Instant, u32)>,
    last_event: Option<time::Instant>,
    longest_pause: time::Duration,
    /// Measures the speed of the present server.
    gaps: load::GapObserver,
    /// How long the caller has blocked the relay since the last events arrived.
    blocked: time::Duration,
}

/// What a relay waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayPhase {
    /// The server's next bytes.
    Reading,
    /// Room for an event that the caller has not read.
    Forwarding,
    /// The head of the rest of the stream from another server.
    Resuming,
}

/// The outcome of one step of the relay.
enum RelayStep {
    Continue,
    /// The stream was relayed to its end.
    Complete,
    /// The part of the stream that this server sends was cut short.
    Cut(&'static str),
    /// The stream ends early for good.
    Ended(&'static str),
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
            phase: RelayPhase::Reading,
            parts,
            call,
            plan,
            _charge: charge,
            lease,
            splitter: entry::EventSplitter::new(exchange.buffer_share()),
            exchange,
            last_id: None,
            events: 0,
            first_event: None,
            segment: None,
            last_event: None,
            longest_pause: time::Duration::ZERO,
            gaps: load::GapObserver::default(),
            blocked: time::Duration::ZERO,
        }
    }

    /// Starts the relay and returns the response to the caller.
    pub(super) fn start(self) -> Response<api::AnswerBody> {
        let (sender, body) = api::AnswerBody::read_ahead(&self.parts.read_ahead);
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

    /// Relays the stream to its end, or until its caller leaves or its deadline passes, whatever it
    /// waits for at that time.
    async fn relay(mut self, sender: api::ReadAheadSender) {
        self.lease.start_waiting(time::Instant::now());
        let deadline = self.call.deadline;
        let outcome = tokio::select! {
            biased;
            outcome = self.relay_segments(&sender) => outcome,
            () = sender.closed() => Err("caller_left"),
            () = sender.ended() => Err(SLOW_READER),
            () = tokio::time::sleep_until(deadline.into()) => Err(DEADLINE),
        };
        let measured = self.gaps.finish();
        self.record_pace(measured);
        let outcome = outcome.map_err(|reason| self.explain_end(reason));
        self.record_event_time();
        match outcome {
            Ok(()) => {
                self.log("complete");
                self.record_output();
                self.parts.crashes.record_end(&self.call.keys);
                sender.finish();
                self.lease.stop_waiting();
                self.exchange.finish();
            }
            // Dropping the sender closes the caller's connection without the end of the answer.
            Err(reason) => self.log(reason),
        }
    }

    /// Returns the reason to log for the end of a stream, and reports a server that sent nothing
    /// until the deadline.
    fn explain_end(&self, reason: &'static str) -> &'static str {
        match self.phase {
            RelayPhase::Reading if reason == DEADLINE => {
                self.lease.observe(fleet::AttemptReport::Broken);
                reason
            }
            RelayPhase::Forwarding if reason == DEADLINE => "caller_stalled",
            _ => reason,
        }
    }

    /// Relays what this server sends, and what others do that the stream is resumed at.
    ///
    /// # Errors
    ///
    /// The reason why the stream ends early.
    async fn relay_segments(&mut self, sender: &api::ReadAheadSender) -> Result<(), &'static str> {
        loop {
            match self.step(sender).await {
                RelayStep::Continue => {}
                RelayStep::Complete => return Ok(()),
                RelayStep::Ended(reason) => return Err(reason),
                RelayStep::Cut(reason) => {
                    self.phase = RelayPhase::Resuming;
                    if !self.resume(reason).await {
                        return Err(reason);
                    }
                    self.phase = RelayPhase::Reading;
                }
            }
        }
    }

    async fn step(&mut self, sender: &api::ReadAheadSender) -> RelayStep {
        let chunk = tokio::select! {
            chunk = self.exchange.next_chunk() => chunk,
            _ = self.parts.crashes.wait_until_blocked(&self.call.keys), if self.events == 0 => {
                return RelayStep::Ended("prompt_blocked");
            }
        };
        match chunk {
            Ok(Some(chunk)) => {
                if !self.splitter.push(&chunk) {
                    return RelayStep::Cut("event_too_large");
                }
                self.forward_events(sender).await
            }
            Ok(None) if self.splitter.is_empty() => RelayStep::Complete,
            Ok(None) => RelayStep::Cut("ended_within_event"),
            Err(_) => RelayStep::Cut(CONNECTION_BROKEN),
        }
    }

    async fn forward_events(&mut self, sender: &api::ReadAheadSender) -> RelayStep {
        let arrived = time::Instant::now();
        let events_before = self.events;
        let step = self.forward_arrived(sender).await;
        let events = u32::try_from(self.events - events_before).unwrap_or(u32::MAX);
        if events > 0 {
            let measured = self.gaps.observe(events, self.blocked, arrived);
            self.blocked = arrived.elapsed();
            self.record_pace(measured);
        }
        step
    }

    async fn forward_arrived(&mut self, sender: &api::ReadAheadSender) -> RelayStep {
        while let Some(event) = self.splitter.next_event() {
            if self.is_resumed && !follows(event.id.as_deref(), self.last_id.as_deref()) {
                return RelayStep::Cut("rest_starts_over");
            }
            self.count_event();
            if event.id.is_some() {
                self.last_id = event.id;
            }
            self.phase = RelayPhase::Forwarding;
            match sender.send(event.bytes).await {
                Ok(()) => {}
                Err(api::SendError::CallerGone) => return RelayStep::Ended("caller_left"),
                Err(api::SendError::SlowReader) => return RelayStep::Ended(SLOW_READER),
            }
            self.phase = RelayPhase::Reading;
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
        if let Some((_, events)) = &mut self.segment {
            *events += 1;
        } else {
            self.segment = Some((now, 0));
            self.lease.begin_answer();
        }
        if self.events == 0 {
            self.parts.crashes.record_start(&self.call.keys);
            self.first_event = Some(now - self.call.arrived);
        }
        self.events += 1;
    }

    fn record_pace(&self, measured: Option<(u32, u32)>) {
        if let Some(measured) = measured {
            self.lease.record_pace(measured);
        }
    }

    /// Reports the mean time for an event of the present server.
    fn record_event_time(&mut self) {
        if let (Some((first, events)), Some(last)) = (self.segment.take(), self.last_event)
            && events >= MIN_EVENTS
        {
            self.lease
                .record_events(last.saturating_duration_since(first) / events);
        }
    }

    /// Learns the length of a complete answer.
    fn record_output(&self) {
        let engine = self.call.index.service(&self.call.service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        if let (Some(engine), Some(sizes)) = (engine, self.call.metadata.sizes) {
            let tokens = self.events.saturating_mul(engine.tokens_per_event.into());
            self.parts
                .outputs
                .record(&self.call.route.name, sizes, tokens);
        }
    }

    fn record_break(&self) -> crash::BrokenCall {
        let progress = if self.events == 0 {
            crash::AnswerProgress::Head
        } else {
            crash::AnswerProgress::Begun
        };
        self.parts.record_break(&self.call, &self.lease, progress)
    }

    /// Resumes a cut stream at another server; returns `false` if that is not possible.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.lease.observe(fleet::AttemptReport::Broken);
        self.plan.record_possible_run();
        let broken = (reason == CONNECTION_BROKEN).then(|| self.record_break());
        if !self.plan.may_repeat() {
            return false;
        }
        if let Some(broken) = broken
            && !broken.may_resend().await
        {
            return false;
        }
        let Some(permit) = self.parts.spend_retry(&self.call.service) else {
            return false;
        };
        let Some((mut lease, exchange)) = self.send_again(permit).await else {
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
        self.record_event_time();
        self.exchange = exchange;
        lease.start_waiting(time::Instant::now());
        let measured = self.gaps.finish();
        self.record_pace(measured);
        self.lease.stop_waiting();
        self.lease = lease;
        self.splitter = entry::EventSplitter::new(self.exchange.buffer_share());
        self.is_resumed = true;
        true
    }

    /// Sends the call for the rest of its stream; a server that could not be sent to is replaced by
    /// another one.
    async fn send_again(
        &mut self,
        mut permit: entry::RetryPermit,
    ) -> Option<(entry::PlaceLease, backend::BackendExchange)> {
        while self.plan.may_resend() {
            self.parts.crashes.delay_suspect(&self.call.keys).await;
            let mut requirements = self.call.requirements(self.plan.tried().to_vec());
            requirements.suspect_place = self.parts.crashes.suspect_place(&self.call.keys);
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
            if self.parts.crashes.check(&self.call.keys).is_some() {
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
            permit.start_send();
            let end = sending.await;
            match end {
                entry::AttemptEnd::Stream(exchange) => {
                    if media_type(exchange.head()) == self.media_type {
                        return Some((lease, exchange));
                    }
                    lease.observe(fleet::AttemptReport::Failed);
                    return None;
                }
                entry::AttemptEnd::Unsent(_) => permit.withdraw_send(),
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
            first_event_ms = millis(self.first_event.unwrap_or_default()),
            longest_pause_ms = millis(self.longest_pause),
            took_ms = millis(self.call.arrived.elapsed()),
            reason = reason;
            "stream ended"
        );
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
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
