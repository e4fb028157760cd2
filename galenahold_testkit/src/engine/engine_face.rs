//! The HTTP face of an engine for requests and orders.

use std::sync;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body;
use tokio::sync::mpsc;

use super::AnswerText;
use super::engine_core::EngineCore;
use super::event_body::{EventBody, EventFormat, EventStream};
use super::generation_body::GenerationBody;
use super::load_order::{AdapterBody, LoadOrder, RepositoryBody};
use super::placement_runner::PlacementRunner;
use super::sequence_queue::Sequence;
use crate::announce;
use crate::http::{
    ConnectionReset, REQUEST_ID_HEADER, RequestHandler, empty_answer, error_answer, json_answer,
    read_json,
};
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

/// Serves completions, orders and the inventory.
#[derive(Debug)]
pub(crate) struct EngineFace {
    core: sync::Arc<EngineCore>,
}

impl EngineFace {
    /// Makes the face of an engine.
    pub(crate) fn new(core: sync::Arc<EngineCore>) -> Self {
        Self { core }
    }

    /// Answers a completion.
    async fn generate(
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
        let Some(base_model) = self.core.models.lock().begin_request(&body.model) else {
            return Err(Box::new(not_loaded(&body.model)));
        };
        self.core
            .ledger
            .amend(key, |record| record.base_model = base_model);
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

    /// Loads or unloads a base model.
    async fn place_model(&self, parts: &http::request::Parts, body: body::Incoming) -> WholeAnswer {
        let path = parts
            .uri
            .path()
            .trim_start_matches("/v2/repository/models/");
        let (model, kind) = match path.rsplit_once('/') {
            Some((model, "load")) => (model, ledger::PlacementKind::LoadModel),
            Some((model, "unload")) => (model, ledger::PlacementKind::UnloadModel),
            _ => return empty_answer(StatusCode::NOT_FOUND),
        };
        match read_json::<Option<RepositoryBody>>(body).await {
            Ok(body) => {
                let body = body.unwrap_or_default();
                let order = LoadOrder::for_model(kind, model, body, &parts.headers);
                self.place(order).await
            }
            Err(reason) => error_answer(StatusCode::BAD_REQUEST, "invalid_order", &reason),
        }
    }

    /// Loads or unloads an adapter.
    async fn place_adapter(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
        kind: ledger::PlacementKind,
    ) -> WholeAnswer {
        match read_json::<AdapterBody>(body).await {
            Ok(body) => {
                self.place(LoadOrder::for_adapter(kind, body, &parts.headers))
                    .await
            }
            Err(reason) => error_answer(StatusCode::BAD_REQUEST, "invalid_order", &reason),
        }
    }

    /// Carries out an order.
    async fn place(&self, order: LoadOrder) -> WholeAnswer {
        self.core.controls.wait_unpaused().await;
        let name = order.name().to_owned();
        let status = PlacementRunner::new(sync::Arc::clone(&self.core), order)
            .run()
            .await;
        match status {
            StatusCode::OK => json_answer(status, &serde_json::json!({"name": name})),
            StatusCode::CONFLICT => error_answer(status, "fenced", "the fencing number is too low"),
            StatusCode::INSUFFICIENT_STORAGE => {
                error_answer(status, "memory", "the memory does not suffice")
            }
            StatusCode::NOT_FOUND => {
                error_answer(status, "not_found", "the base model is not ready")
            }
            _ => empty_answer(status),
        }
    }

    /// Lists what is held.
    fn index(&self) -> WholeAnswer {
        let loaded = self.core.models.lock().loaded();
        let entries: Vec<_> = loaded.iter().map(index_entry).collect();
        json_answer(StatusCode::OK, &entries)
    }
}

impl RequestHandler for EngineFace {
    type Body = EventBody;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<http::Response<Self::Body>, ConnectionReset> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        let answer = match (parts.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => return Ok(self.generate(&parts, body, true).await),
            ("POST", "/v1/completions") => return Ok(self.generate(&parts, body, false).await),
            ("POST", "/v2/repository/index") => {
                self.core.controls.wait_unpaused().await;
                self.index()
            }
            ("POST", _) if path.starts_with("/v2/repository/models/") => {
                self.place_model(&parts, body).await
            }
            ("POST", "/v1/load_lora_adapter") => {
                let kind = ledger::PlacementKind::LoadAdapter;
                self.place_adapter(&parts, body, kind).await
            }
            ("POST", "/v1/unload_lora_adapter") => {
                let kind = ledger::PlacementKind::UnloadAdapter;
                self.place_adapter(&parts, body, kind).await
            }
            ("GET", "/health") => {
                self.core.controls.wait_unpaused().await;
                empty_answer(StatusCode::OK)
            }
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        Ok(answer.map(EventBody::Whole))
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

/// Returns one entry of the inventory.
fn index_entry(loaded: &announce::LoadedModel) -> serde_json::Value {
    let state = match loaded.state {
        announce::ReplicaState::Ready => "READY",
        announce::ReplicaState::Loading => "LOADING",
        announce::ReplicaState::Unloading => "UNLOADING",
    };
    serde_json::json!({
        "name": loaded.model,
        "version": loaded.version,
        "state": state,
        "bytes": loaded.bytes,
        "order": loaded.order,
        "adapter": loaded.adapter,
    })
}
