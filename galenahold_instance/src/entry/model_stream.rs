//! Relay of a model's event stream to its caller.

use std::time;

use galenahold_domain::verdict;

use crate::api;
use crate::backend;
use crate::dispatch;
use crate::entry;
use crate::entry::model_handler::{OpenedAnswer, ResumePoint};
use crate::rate;

/// The maximum time for the caller's connection to accept the error event that ends a stream.
const ERROR_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Relays a model's event stream to its caller, event by event; resumes it at another replica if it
/// is cut short.
#[derive(Debug)]
pub(crate) struct ModelStream {
    handler: entry::ModelHandler,
    call: entry::ModelCall,
    charge: Option<rate::TokenCharge>,
    state: entry::AttemptState,
    opened: Option<OpenedAnswer>,
    resume: ResumePoint,
    opening: OpeningState,
    sender: api::StreamSender,
    usage: Option<entry::UsageDocument>,
    last_token_at: Option<time::Instant>,
}

/// The way in which a stream ended.
enum StreamEnd {
    /// The event that marks the end was relayed.
    Completed,
    /// The caller disconnected.
    CallerGone,
    /// An error ended the stream; it is sent to the caller as the last event.
    Failed(api::RequestRefusal),
}

/// Tracks which opening events are forwarded to the caller.
#[derive(Debug, Default)]
struct OpeningState {
    /// Whether an opening event of the answer was forwarded to the caller.
    forwarded: bool,
    /// Whether the current backend server resumes an answer and may still repeat its opening event.
    is_resumed: bool,
}

impl OpeningState {
    /// Processes an opening event; returns whether it is forwarded to the caller.
    fn accept(&mut self) -> bool {
        // A server that resumes an answer repeats the opening event once; later events without
        // output, such as tool calls, are part of the answer.
        if std::mem::take(&mut self.is_resumed) {
            return false;
        }
        self.forwarded = true;
        true
    }

    /// Starts the segment of the answer that the next backend server sends.
    fn begin_segment(&mut self) {
        self.is_resumed = self.forwarded;
    }
}

/// The result of processing the events of one chunk.
struct ChunkResult {
    output: bytes::BytesMut,
    ended: bool,
    failed: bool,
}

impl ModelStream {
    /// Creates the relay of an opened answer.
    pub(crate) fn new(
        handler: entry::ModelHandler,
        call: entry::ModelCall,
        charge: Option<rate::TokenCharge>,
        state: entry::AttemptState,
        opened: OpenedAnswer,
        sender: api::StreamSender,
    ) -> Self {
        let resume = ResumePoint {
            attempt: opened.attempt.clone(),
            offset: 0,
        };
        Self {
            handler,
            call,
            charge,
            state,
            opened: Some(opened),
            resume,
            opening: OpeningState::default(),
            sender,
            usage: None,
            last_token_at: None,
        }
    }

    /// Relays the stream until it ends, fails, is no longer authorized or loses its caller.
    pub(crate) async fn run(mut self) {
        let mut guard = self.call.guard.clone();
        let sender = self.sender.clone();
        let deadline = self.call.deadline;
        let ended = tokio::select! {
            biased;
            ended = self.relay() => ended,
            kind = guard.revoked() => StreamEnd::Failed(refuse(
                kind,
                "the key no longer authorizes the request",
            )),
            () = sender.closed() => StreamEnd::CallerGone,
            () = tokio::time::sleep_until(deadline.into()) => StreamEnd::Failed(refuse(
                api::RefusalKind::DeadlineExceeded,
                "the answer did not finish before the request's deadline",
            )),
        };
        self.finish(ended).await;
    }

    async fn relay(&mut self) -> StreamEnd {
        loop {
            let Some(opened) = self.opened.take() else {
                return StreamEnd::Failed(refuse(
                    api::RefusalKind::BackendFailed,
                    "the answer was cut short",
                ));
            };
            match self.relay_segment(opened).await {
                Ok(ended) => return ended,
                Err(failed) => {
                    if let Err(refusal) = self.reopen(failed).await {
                        return StreamEnd::Failed(refusal);
                    }
                }
            }
        }
    }

    /// Relays the events of one backend server.
    ///
    /// # Errors
    ///
    /// The answer was cut short, had an error event or an event that is too large.
    async fn relay_segment(
        &mut self,
        opened: OpenedAnswer,
    ) -> Result<StreamEnd, entry::FailedAttempt> {
        let OpenedAnswer {
            slot, mut exchange, ..
        } = opened;
        let mut scanner = entry::EventScanner::new(exchange.buffer_share());
        loop {
            let chunk = tokio::select! {
                chunk = exchange.next_chunk() => chunk,
                refusal = self.handler.wait_until_blocked(&self.call), if !self.state.has_begun => {
                    return Ok(StreamEnd::Failed(refusal));
                }
            };
            let Ok(Some(chunk)) = chunk else {
                return Err(fail_cut(slot));
            };
            if scanner.push(&chunk).is_err() {
                return Err(fail_cut(slot));
            }
            let result = self.process_events(&mut scanner);
            if !result.output.is_empty() && self.forward(result.output).await.is_err() {
                return Ok(StreamEnd::CallerGone);
            }
            if result.failed {
                return Err(fail_cut(slot));
            }
            if result.ended {
                slot.finish(dispatch::AttemptOutcome::Answered);
                self.handler.record_end(&self.call);
                // Reading the final chunk makes the connection reusable.
                if let Ok(None) = exchange.next_chunk().await {
                    exchange.finish();
                }
                return Ok(StreamEnd::Completed);
            }
        }
    }

    fn process_events(&mut self, scanner: &mut entry::EventScanner) -> ChunkResult {
        let mut result = ChunkResult {
            output: bytes::BytesMut::new(),
            ended: false,
            failed: false,
        };
        while let Some(event) = scanner.next_event() {
            match event.kind {
                entry::EventKind::Output => {
                    self.count_token();
                    self.opening.is_resumed = false;
                    result.output.extend_from_slice(&event.bytes);
                }
                entry::EventKind::Opening => {
                    if self.opening.accept() {
                        result.output.extend_from_slice(&event.bytes);
                    }
                }
                entry::EventKind::Usage {
                    prompt_tokens,
                    completion_tokens,
                } => {
                    self.usage = Some(entry::UsageDocument {
                        prompt_tokens,
                        completion_tokens,
                    });
                    if self.call.request.wants_usage() {
                        result.output.extend_from_slice(&event.bytes);
                    }
                }
                entry::EventKind::Error => {
                    result.failed = true;
                    return result;
                }
                entry::EventKind::End => {
                    result.output.extend_from_slice(&event.bytes);
                    result.ended = true;
                    return result;
                }
                entry::EventKind::Other => result.output.extend_from_slice(&event.bytes),
            }
        }
        result
    }

    fn count_token(&mut self) {
        let now = time::Instant::now();
        match self.last_token_at {
            None => {
                self.call.recorder.record_first_token();
                self.state.has_begun = true;
                self.handler.record_start(&self.call);
            }
            Some(last) => self
                .call
                .recorder
                .record_token_gap(now.duration_since(last)),
        }
        self.last_token_at = Some(now);
        self.resume.offset += 1;
    }

    async fn forward(&self, output: bytes::BytesMut) -> Result<(), api::CallerGone> {
        self.sender.send(output.freeze()).await
    }

    /// Opens the remainder of the answer after it was cut short.
    async fn reopen(&mut self, failed: entry::FailedAttempt) -> Result<(), api::RequestRefusal> {
        let resume = (self.resume.offset > 0).then(|| self.resume.clone());
        let reopened = self
            .handler
            .reopen(
                &self.call,
                &mut self.charge,
                &mut self.state,
                failed,
                resume,
            )
            .await;
        match reopened {
            Ok(opened) => {
                self.handler.metrics().resumed.inc();
                self.opening.begin_segment();
                self.opened = Some(opened);
                Ok(())
            }
            Err(mut refusal) => {
                // The caller has received part of the answer, so the request has run.
                refusal.verdict = verdict::RequestVerdict::Ran;
                Err(refusal)
            }
        }
    }

    async fn finish(mut self, ended: StreamEnd) {
        // Closing the connection cancels the request if it still runs at the backend server.
        self.opened = None;
        let spent = self.call.spent(self.usage, self.resume.offset);
        if let Some(charge) = self.charge.take() {
            charge.finish(spent);
        }
        match ended {
            StreamEnd::Completed => {
                self.call.recorder.record_answered(200, spent.0);
                self.sender.finish();
            }
            StreamEnd::CallerGone => self.call.recorder.record_abandoned(spent.0),
            StreamEnd::Failed(refusal) => {
                self.call.recorder.record_refused(&refusal);
                let event = error_event(&refusal);
                let sending = self.sender.send(event);
                // If the caller does not read, its connection is closed anyway.
                if let Ok(Ok(())) = tokio::time::timeout(ERROR_EVENT_TIMEOUT, sending).await {
                    self.sender.finish();
                }
            }
        }
    }
}

fn fail_cut(slot: dispatch::ReplicaSlot) -> entry::FailedAttempt {
    let error = backend::AttemptError::may_have_run(backend::AttemptErrorKind::Cut);
    entry::FailedAttempt::new(slot, dispatch::AttemptOutcome::Failed, error)
}

fn refuse(kind: api::RefusalKind, message: &str) -> api::RequestRefusal {
    api::RequestRefusal::new(kind, verdict::RequestVerdict::Ran, message)
}

/// Returns the event that ends a stream with an error; no end event follows it.
fn error_event(refusal: &api::RequestRefusal) -> bytes::Bytes {
    let mut event = bytes::BytesMut::from(&b"data: "[..]);
    event.extend_from_slice(&refusal.document());
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
