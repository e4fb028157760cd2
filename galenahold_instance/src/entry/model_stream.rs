//! Passes a model's event stream on to its caller.

use std::time;

use galenahold_domain::verdict;
use tokio::sync::mpsc;

use crate::api;
use crate::backend;
use crate::dispatch;
use crate::entry;
use crate::entry::model_handler::{OpenedAnswer, ResumePoint};
use crate::rate;

/// How long the error that ends a stream may wait for the caller's socket.
const ERROR_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Passes a model's event stream on to its caller, event by event; goes on elsewhere after a cut.
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

/// How a stream ended.
enum StreamEnd {
    /// With its end mark.
    Completed,
    /// The caller went away.
    CallerGone,
    /// With an error that the caller is told of.
    Failed(api::RequestRefusal),
}

/// Which opening events the caller still gets.
#[derive(Debug, Default)]
struct OpeningState {
    /// Whether the caller has the opening event of the answer.
    forwarded: bool,
    /// Whether the present backend server goes on with an answer that another one opened.
    is_resumed: bool,
}

impl OpeningState {
    /// Takes up an opening event; returns whether the caller gets it.
    fn accept(&mut self) -> bool {
        // A server that goes on opens anew, once; later events without output, such as calls of tools,
        // are part of the answer.
        if std::mem::take(&mut self.is_resumed) {
            return false;
        }
        self.forwarded = true;
        true
    }

    /// Begins the answer of the next backend server.
    fn begin_segment(&mut self) {
        self.is_resumed = self.forwarded;
    }
}

/// What came of the events of one piece.
struct ChunkResult {
    output: bytes::BytesMut,
    ended: bool,
    failed: bool,
}

impl ModelStream {
    /// Creates the stream of an opened answer.
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

    /// Passes the stream on to its end.
    pub(crate) async fn run(mut self) {
        let mut guard = self.call.guard.clone();
        let sender = self.sender.clone();
        let deadline = self.call.deadline;
        let ended = tokio::select! {
            biased;
            ended = self.relay() => ended,
            kind = guard.revoked() => StreamEnd::Failed(refuse(
                kind,
                "the key no longer admits the request",
            )),
            () = sender.closed() => StreamEnd::CallerGone,
            () = tokio::time::sleep_until(deadline.into()) => StreamEnd::Failed(refuse(
                api::RefusalKind::DeadlineExceeded,
                "the answer did not end before the request's deadline",
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

    /// Passes on what one backend server sends.
    ///
    /// # Errors
    ///
    /// It was cut short.
    async fn relay_segment(
        &mut self,
        opened: OpenedAnswer,
    ) -> Result<StreamEnd, entry::FailedAttempt> {
        let OpenedAnswer {
            slot, mut exchange, ..
        } = opened;
        let mut scanner = entry::EventScanner::default();
        loop {
            let Ok(Some(chunk)) = exchange.next_chunk().await else {
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
                // The last chunk lets the connection serve the next request.
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
            None => self.call.recorder.record_first_token(),
            Some(last) => self
                .call
                .recorder
                .record_token_gap(now.duration_since(last)),
        }
        self.last_token_at = Some(now);
        self.resume.offset += 1;
    }

    async fn forward(
        &self,
        output: bytes::BytesMut,
    ) -> Result<(), mpsc::error::SendError<Result<bytes::Bytes, api::StreamCut>>> {
        self.sender.send(Ok(output.freeze())).await
    }

    /// Opens the rest of the answer after a cut.
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
                // The caller has part of the answer, so the request ran.
                refusal.verdict = verdict::RequestVerdict::Ran;
                Err(refusal)
            }
        }
    }

    async fn finish(mut self, ended: StreamEnd) {
        // Ends the request at the backend server, if it still runs there.
        self.opened = None;
        let spent = self.call.spent(self.usage, self.resume.offset);
        if let Some(charge) = self.charge.take() {
            charge.finish(spent);
        }
        match ended {
            StreamEnd::Completed => self.call.recorder.record_answered(200, spent.0),
            StreamEnd::CallerGone => self.call.recorder.record_abandoned(spent.0),
            StreamEnd::Failed(refusal) => {
                self.call.recorder.record_refused(&refusal);
                let event = error_event(&refusal);
                let sending = self.sender.send(Ok(event));
                // A caller that does not read loses its connection anyway.
                let _ = tokio::time::timeout(ERROR_EVENT_TIMEOUT, sending).await;
            }
        }
    }
}

fn fail_cut(slot: dispatch::ReplicaSlot) -> entry::FailedAttempt {
    let server = slot.address().server.clone();
    slot.finish(dispatch::AttemptOutcome::Failed);
    let error = backend::AttemptError::may_have_run(backend::AttemptErrorKind::Cut);
    entry::FailedAttempt { error, server }
}

fn refuse(kind: api::RefusalKind, message: &str) -> api::RequestRefusal {
    api::RequestRefusal::new(kind, verdict::RequestVerdict::Ran, message)
}

/// The event that ends a stream in an error; no end mark follows it.
fn error_event(refusal: &api::RequestRefusal) -> bytes::Bytes {
    let mut event = bytes::BytesMut::from(&b"data: "[..]);
    event.extend_from_slice(&refusal.document());
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
