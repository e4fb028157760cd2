//! Execution of a single attempt at a backend server.

use std::time;

use galenahold_routing::fleet;
use http::Request;
use http_body_util::Full;

use crate::backend;
use crate::crash;
use crate::gateway;
use crate::gateway::entry;

/// Maximum size of a non-streamed answer, which is buffered before it is forwarded, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a refusal's body that is read for the sake of its connection, in bytes.
const MAX_DRAIN_BYTES: usize = 64 * 1024;

/// Maximum time for the body of a refusal; after it the connection is closed.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Minimum time left for an attempt to be worth sending.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(5);

/// The lowest urgency rank at engines; rank 0 goes first.
const LAST_URGENCY: u32 = 9;

/// Number of route ranks within one team rank that engines distinguish.
const ROUTE_URGENCIES: u32 = 16;

impl<Dialect: gateway::FleetDialect> entry::EntryParts<Dialect> {
    /// Sends a call to the server of `lease` once and waits for its answer.
    ///
    /// The answer's head has to arrive before `head_deadline`. A stream resumes after the event
    /// `resume_after`.
    pub(super) async fn attempt(
        &self,
        call: &entry::RoutedCall,
        lease: &mut entry::PlaceLease,
        head_deadline: time::Instant,
        resume_after: Option<&str>,
    ) -> entry::AttemptEnd {
        let reuse = if lease.is_repeated() {
            // A second copy of an earlier refusal of this attempt would carry its id.
            backend::ConnectionReuse::Never
        } else if call.route.kind.may_repeat() {
            backend::ConnectionReuse::Any
        } else {
            backend::ConnectionReuse::Recent
        };
        let address = lease.address();
        let Ok(connection) = self.backend.connect(&address, reuse).await else {
            lease.observe(fleet::AttemptReport::Unreachable);
            return entry::AttemptEnd::Unsent("unreachable");
        };
        let sent_at = time::Instant::now();
        let time_left = call.deadline.saturating_duration_since(sent_at);
        if time_left < MIN_TIME_LEFT {
            return entry::AttemptEnd::Unsent("no_time_left");
        }
        if !lease.may_send() {
            return entry::AttemptEnd::Unsent("server_left");
        }
        let request = self.request(call, lease, time_left, resume_after);
        lease.record_send(sent_at);
        let sending = self
            .backend
            .send(connection, &address, request, head_deadline);
        let sent = tokio::select! {
            sent = sending => sent,
            // Dropping the send closes the connection, which cancels the request at the server.
            _ = self.crashes.wait_until_blocked(&call.keys) => {
                lease.stop_waiting();
                return entry::AttemptEnd::Abandoned("prompt_blocked");
            }
        };
        lease.stop_waiting();
        match sent {
            Ok(exchange) => self.classify(call, lease, exchange, sent_at).await,
            Err(error) => {
                let end = classify_error(lease, &error);
                let is_broken = error.kind == backend::AttemptErrorKind::Broken;
                if is_broken
                    && !self
                        .record_break(call, lease, crash::AnswerProgress::None)
                        .may_resend()
                        .await
                {
                    return entry::AttemptEnd::Abandoned("server_crashed");
                }
                end
            }
        }
    }

    fn request(
        &self,
        call: &entry::RoutedCall,
        lease: &entry::PlaceLease,
        time_left: time::Duration,
        resume_after: Option<&str>,
    ) -> Request<Full<bytes::Bytes>> {
        let rank = call.rank();
        let urgency = (rank / ROUTE_URGENCIES + rank % ROUTE_URGENCIES).min(LAST_URGENCY);
        let metadata = gateway::AttemptMetadata {
            server: lease.server(),
            time_left,
            team: call.team.as_ref().map(|team| &team.name),
            urgency: call
                .target()
                .map(|_| u8::try_from(urgency).unwrap_or(u8::MAX)),
            resume_after,
        };
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.head.method.clone();
        *request.uri_mut() = call.head.uri.clone();
        *request.headers_mut() = self.dialect.attempt_headers(&call.head.headers, &metadata);
        request
    }

    async fn classify(
        &self,
        call: &entry::RoutedCall,
        lease: &entry::PlaceLease,
        exchange: backend::BackendExchange,
        sent_at: time::Instant,
    ) -> entry::AttemptEnd {
        let head = exchange.head();
        let id = call.metadata.id.as_deref();
        let metadata = self.dialect.read_answer(id, head.status, &head.headers);
        // A misplaced request was answered by another server than the one it was sent to.
        if metadata.leaving && !metadata.misplaced {
            self.departures.close(lease.departure());
        }
        if metadata.identity == gateway::AnswerIdentity::Crossed {
            self.metrics.crossed.inc();
            lease.observe(fleet::AttemptReport::Broken);
            return entry::AttemptEnd::MayHaveRun("crossed_answer");
        }
        if let Some(pause) = metadata.pause.filter(|_| !metadata.misplaced) {
            lease.close_server(pause);
            self.metrics.pauses.inc();
        }
        // On a connection that served earlier requests, a refusal without an id may be a second copy of
        // an earlier one.
        let is_unknown = metadata.identity == gateway::AnswerIdentity::Unknown;
        if metadata.not_run && exchange.is_reused() && is_unknown {
            lease.observe(fleet::AttemptReport::Broken);
            return entry::AttemptEnd::MayHaveRun("refusal_without_id");
        }
        if metadata.misplaced {
            lease.observe(fleet::AttemptReport::Misplaced);
            self.drain(exchange);
            return entry::AttemptEnd::NotRun("misplaced");
        }
        if metadata.not_run {
            lease.observe(fleet::AttemptReport::Shed);
            self.drain(exchange);
            return entry::AttemptEnd::NotRun("refused_by_server");
        }
        if head.status.is_server_error() {
            lease.observe(fleet::AttemptReport::Failed);
        } else {
            lease.observe_answer(sent_at);
        }
        if call.route.kind.is_stream() && head.status.is_success() {
            return entry::AttemptEnd::Stream(exchange);
        }
        self.read_complete(call, lease, exchange).await
    }

    async fn read_complete(
        &self,
        call: &entry::RoutedCall,
        lease: &entry::PlaceLease,
        mut exchange: backend::BackendExchange,
    ) -> entry::AttemptEnd {
        let Ok(body) = exchange.read_rest(MAX_ANSWER_BYTES, call.deadline).await else {
            lease.observe(fleet::AttemptReport::Broken);
            if !self
                .record_break(call, lease, crash::AnswerProgress::Head)
                .may_resend()
                .await
            {
                return entry::AttemptEnd::Abandoned("server_crashed");
            }
            return entry::AttemptEnd::MayHaveRun("answer_cut");
        };
        self.crashes.record_start(&call.keys);
        self.crashes.record_end(&call.keys);
        let head = exchange.finish();
        entry::AttemptEnd::Complete(entry::CompleteAnswer { head, body })
    }

    /// Records that a server broke off before its answer to the call was complete.
    pub(super) fn record_break(
        &self,
        call: &entry::RoutedCall,
        lease: &entry::PlaceLease,
        progress: crash::AnswerProgress,
    ) -> crash::BrokenCall {
        if progress != crash::AnswerProgress::Begun {
            let answering = progress == crash::AnswerProgress::Head;
            call.log_unbegun(lease.server(), answering);
        }
        let address = lease.address();
        self.crashes
            .record_break(&address, &call.keys, progress, lease.sent_at())
    }

    /// Reads a refusal to its end in the background so that its connection can be reused.
    ///
    /// The call does not wait for the body, which may be slow or never end.
    fn drain(&self, mut exchange: backend::BackendExchange) {
        let deadline = time::Instant::now() + DRAIN_TIMEOUT;
        self.work.spawn_until_stop(async move {
            if exchange.read_rest(MAX_DRAIN_BYTES, deadline).await.is_ok() {
                exchange.finish();
            }
        });
    }
}

fn classify_error(lease: &entry::PlaceLease, error: &backend::AttemptError) -> entry::AttemptEnd {
    use galenahold_domain::verdict::RequestVerdict;
    let (report, note) = match error.kind {
        backend::AttemptErrorKind::Timeout => (fleet::AttemptReport::Slow, "no_answer_in_time"),
        backend::AttemptErrorKind::Unsent => (fleet::AttemptReport::Abandoned, "stale_connection"),
        backend::AttemptErrorKind::InvalidStatus => {
            (fleet::AttemptReport::Broken, "invalid_status")
        }
        _ => (fleet::AttemptReport::Broken, "connection_broken"),
    };
    if error.verdict == RequestVerdict::NotRun {
        return entry::AttemptEnd::Unsent(note);
    }
    lease.observe(report);
    entry::AttemptEnd::MayHaveRun(note)
}
