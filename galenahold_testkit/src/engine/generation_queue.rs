//! Answering completions.

use std::sync;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use super::AnswerText;
use super::engine_core::EngineCore;
use super::event_body::EventBody;
use super::event_format::EventFormat;
use super::event_stream::EventStream;
use super::generation_body::GenerationBody;
use super::sequence::Sequence;
use crate::http::{REQUEST_ID_HEADER, empty_answer, error_answer, json_answer, read_json};
use crate::ledger;

/// Header that names the request whose output goes on.
const RESUME_ID_HEADER: &str = "x-resume-request-id";
/// Header that says how many output tokens the caller has.
const RESUME_OFFSET_HEADER: &str = "x-resume-offset";

type WholeAnswer = http::Response<Full<Bytes>>;
type Refusal = Box<WholeAnswer>;

/// The text of an answer and the request that it names.
struct AnswerIdentity {
    text: AnswerText,
    echoed_id: String,
}

/// Queues completions and answers them.
#[derive(Debug)]
pub(crate) struct GenerationQueue {
    core: sync::Arc<EngineCore>,
}

impl GenerationQueue {
    /// Makes the desk of an engine.
    pub(crate) fn new(core: sync::Arc<EngineCore>) -> Self {
        Self { core }
    }

    /// Answers a completion.
    pub(crate) async fn generate(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
        chat: bool,
    ) -> http::Response<EventBody> {
        let record = ledger::RequestRecord::arrived(parts, ledger::unix_micros());
        let request_id = record.request_id.clone();
        let key = self.core.ledger.arrived(record);
        let begun = self.begin(parts, body, chat, key, &request_id).await;
        let echoed_id = begun
            .as_ref()
            .map_or(request_id, |stream| stream.format.echoed_id.clone());
        let answer = match begun {
            Ok(stream) if stream.format.wants_events => stream_answer(stream),
            Ok(stream) => self.whole_answer(stream).await,
            Err(refusal) => {
                self.core.ledger.ended(key, ledger::RequestOutcome::Refused);
                (*refusal).map(EventBody::Whole)
            }
        };
        echo_id(answer, &echoed_id)
    }

    /// Queues a completion and returns its stream.
    async fn begin(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
        chat: bool,
        key: ledger::RequestKey,
        request_id: &str,
    ) -> Result<EventStream, Refusal> {
        let body: GenerationBody = read_json(body).await.map_err(|reason| {
            let status = StatusCode::BAD_REQUEST;
            Box::new(error_answer(status, "invalid_request_error", &reason))
        })?;
        self.core.controls.wait_unpaused().await;
        let prompt = body.prompt_text();
        let prompt_tokens = AnswerText::prompt_tokens(&prompt);
        let identity = self.identify(&body.model, &prompt, request_id);
        let text = identity.text;
        let max_tokens = body.max_tokens();
        let end = text.token_count(max_tokens, self.core.settings.natural_limit);
        let next = resume_offset(&parts.headers).min(end);
        self.core.ledger.amend(key, |record| {
            record.model.clone_from(&body.model);
            record.priority = body.priority;
            record.prompt_tokens = prompt_tokens;
            record.resume_offset = next;
        });
        if next > 0 && self.core.controls.take_refused_rest() {
            const TEXT: &[u8] = b"error: no such answer\n\ntry again\n\n";
            let mut refusal = http::Response::new(Full::new(Bytes::from_static(TEXT)));
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            return Err(Box::new(refusal));
        }
        let Some(base_model) = self.core.models.lock().begin_request(&body.model) else {
            return Err(Box::new(not_loaded(&body.model)));
        };
        self.core
            .ledger
            .amend(key, |record| record.base_model = base_model);
        let crash_after = self.core.controls.crash_after(&prompt);
        if crash_after == Some(0) {
            self.core.crash();
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let sequence = Sequence {
            key,
            model: body.model.clone(),
            prompt,
            prompt_tokens,
            priority: body.priority,
            next,
            end,
            stall_at: self.core.controls.take_stall().map(|after| next + after),
            crash_at: crash_after.map(|after| next + after),
            prefilled_at: None,
            tokens: sender,
        };
        self.queue(sequence)?;
        let stream = EventStream {
            format: EventFormat {
                id: format!("{}-{request_id}", if chat { "chatcmpl" } else { "cmpl" }),
                echoed_id: identity.echoed_id,
                wants_events: body.stream,
                includes_usage: body.includes_usage(),
                model: body.model,
                chat,
                prompt_tokens,
                finish_reason: if end < max_tokens { "stop" } else { "length" },
            },
            text,
            next,
            end,
            cut_at: self.core.controls.take_cut().map(|after| next + after),
            cut_flushed: false,
            tokens: receiver,
            done: false,
        };
        Ok(stream)
    }

    /// Queues a sequence, or ends it at once when nothing is left to compute.
    fn queue(&self, sequence: Sequence) -> Result<(), Refusal> {
        if sequence.next >= sequence.end {
            self.core
                .ledger
                .ended(sequence.key, ledger::RequestOutcome::Finished);
            self.core.models.lock().end_request(&sequence.model);
            return Ok(());
        }
        let max_queue = self.core.settings.max_queue;
        let Some(sequence) = self.core.batch.push(sequence, max_queue) else {
            return Ok(());
        };
        self.core.models.lock().end_request(&sequence.model);
        let message = "the queue is full; retry later";
        let answer = error_answer(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
        Err(Box::new(answer))
    }

    /// Waits for all tokens and answers them at once.
    async fn whole_answer(&self, mut stream: EventStream) -> http::Response<EventBody> {
        let first = stream.next;
        while stream.next < stream.end {
            if stream.tokens.recv().await.is_none() {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return empty_answer(status).map(EventBody::Whole);
            }
            stream.next += 1;
        }
        let text = stream.text.text(first, stream.end - first);
        let value = stream.format.whole_answer(&text, stream.end);
        json_answer(StatusCode::OK, &value).map(EventBody::Whole)
    }

    /// Returns the answer to a prompt, or on purpose one that belongs to another request.
    fn identify(&self, model: &str, prompt: &str, request_id: &str) -> AnswerIdentity {
        if self.core.controls.take_wrong_request_id() {
            return AnswerIdentity {
                text: AnswerText::new(model, request_id),
                echoed_id: format!("wrong-{request_id}"),
            };
        }
        AnswerIdentity {
            text: AnswerText::new(model, prompt),
            echoed_id: request_id.to_owned(),
        }
    }
}

/// Echoes a request id.
fn echo_id(mut answer: http::Response<EventBody>, id: &str) -> http::Response<EventBody> {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    answer
}

/// Answers with events.
fn stream_answer(stream: EventStream) -> http::Response<EventBody> {
    let mut answer = http::Response::new(EventBody::Events(Box::new(stream)));
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    answer
}

/// Refuses a request for a model that is not ready.
fn not_loaded(model: &str) -> WholeAnswer {
    let message = format!("The model `{model}` does not exist.");
    error_answer(StatusCode::NOT_FOUND, "NotFoundError", &message)
}

/// Returns the output tokens to skip.
fn resume_offset(headers: &http::HeaderMap) -> u64 {
    if !headers.contains_key(RESUME_ID_HEADER) {
        return 0;
    }
    let value = headers.get(RESUME_OFFSET_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
