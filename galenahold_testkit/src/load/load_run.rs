//! Playing a trace.

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use super::answer_check::{AnswerCheck, AnswerPiece};
use super::event_reader::EventReader;
use super::load_client::{ClientAnswer, LoadClient};
use super::request_result::{RequestEnd, RequestResult};
use super::result_collector::ResultCollector;
use super::target_pool::TargetPool;
use super::{LoadResult, LoadSettings, LoadTrace, RouteKind, TraceBody, TraceRequest};
use crate::host;
use crate::http::{REQUEST_ID_HEADER, VERDICT_HEADER};
use crate::state_lock;
use crate::testkit_error::TestkitError;

/// Threads of a run.
const LOAD_THREADS: usize = 4;
/// Header that names an order.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// What the tasks of a run share.
#[derive(Debug)]
struct RunState {
    settings: LoadSettings,
    pool: TargetPool,
    straight_turns: atomic::AtomicUsize,
    results: state_lock::StateLock<ResultCollector>,
    worst_send_lag_us: atomic::AtomicU64,
}

/// Plays a trace with open-loop arrivals: a slow answer delays no other request.
#[derive(Debug)]
pub struct LoadRun {
    host: host::StandInHost,
    state: sync::Arc<RunState>,
}

impl LoadRun {
    /// Prepares a run.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be had.
    pub fn new(settings: LoadSettings) -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("load", LOAD_THREADS)?;
        let pool = TargetPool::new(
            host.scope(),
            &settings.targets,
            &settings.straight_engines,
            &settings.straight_services,
        );
        let state = RunState {
            pool,
            settings,
            straight_turns: atomic::AtomicUsize::new(0),
            results: state_lock::StateLock::default(),
            worst_send_lag_us: atomic::AtomicU64::new(0),
        };
        Ok(Self {
            host,
            state: sync::Arc::new(state),
        })
    }

    /// Plays the trace to its end and waits for all answers.
    #[must_use]
    pub fn play(self, trace: &LoadTrace) -> LoadResult {
        let start = time::Instant::now();
        let state = sync::Arc::clone(&self.state);
        let tasks = self.host.block_on(send_all(state, start, trace));
        for task in tasks {
            // A panicked task is counted as missing from the sent requests.
            let _ = self.host.block_on(task);
        }
        self.finish(start.elapsed())
    }

    fn finish(self, duration: time::Duration) -> LoadResult {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let results = std::mem::take(&mut *self.state.results.lock());
        let routes = results.finish();
        let all = routes.iter().filter(|result| result.team.is_empty());
        let (sent, tokens) = all.fold((0, 0), |(sent, tokens), result| {
            (sent + result.sent, tokens + result.tokens)
        });
        LoadResult {
            label: self.state.settings.label.clone(),
            duration_us,
            requests_per_second: per_second(sent, duration_us),
            tokens_per_second: per_second(tokens, duration_us),
            worst_send_lag_us: self.state.worst_send_lag_us.load(atomic::Ordering::Relaxed),
            routes,
        }
    }
}

/// Starts each request at its time.
async fn send_all(
    state: sync::Arc<RunState>,
    start: time::Instant,
    trace: &LoadTrace,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut tasks = Vec::with_capacity(trace.requests().len());
    for request in trace.requests() {
        let offset = time::Duration::from_micros(request.at_us).div_f64(state.settings.speed);
        let due = start + offset;
        tokio::time::sleep_until(due.into()).await;
        let lag = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        state
            .worst_send_lag_us
            .fetch_max(lag, atomic::Ordering::Relaxed);
        let task = run_request(sync::Arc::clone(&state), request.clone(), due);
        tasks.push(tokio::spawn(task));
    }
    tasks
}

/// Sends one request and enters its result.
async fn run_request(state: sync::Arc<RunState>, request: TraceRequest, due: time::Instant) {
    let route = state.choose_route(&request);
    let result = match state.choose_client(route, &request) {
        Some(client) => {
            let exchange = exchange(&state, route, client, &request);
            let timeout = tokio::time::timeout(state.settings.timeout, exchange);
            let ended = timeout.await;
            ended.unwrap_or_else(|_| RequestResult::ended(RequestEnd::TimedOut))
        }
        None => RequestResult::ended(RequestEnd::Broken),
    };
    state.results.lock().take(route, &request, due, &result);
}

impl RunState {
    /// Sends every second of the requests that can go both ways straight.
    fn choose_route(&self, request: &TraceRequest) -> RouteKind {
        if !self.pool.has_targets() {
            return RouteKind::Straight;
        }
        let can_go_straight = self.choose_client(RouteKind::Straight, request).is_some();
        let turn = |turns: &atomic::AtomicUsize| turns.fetch_add(1, atomic::Ordering::Relaxed);
        if can_go_straight && turn(&self.straight_turns) % 2 == 1 {
            return RouteKind::Straight;
        }
        RouteKind::Through
    }

    /// Chooses the connections that a request takes on a route.
    fn choose_client(
        &self,
        route: RouteKind,
        request: &TraceRequest,
    ) -> Option<&sync::Arc<LoadClient>> {
        match (route, &request.body) {
            (RouteKind::Through, _) => self.pool.next_target(),
            (RouteKind::Straight, TraceBody::Completion { model, .. }) => {
                self.pool.next_engine(model)
            }
            (RouteKind::Straight, TraceBody::Order { .. }) => self.pool.next_service(),
        }
    }
}

/// Sends a request and reads its answer; only instances are shown the team's key.
async fn exchange(
    state: &RunState,
    route: RouteKind,
    client: &sync::Arc<LoadClient>,
    request: &TraceRequest,
) -> RequestResult {
    let prompt = request.prompt();
    let key = match route {
        RouteKind::Through => state.settings.keys.get(&request.team),
        RouteKind::Straight => None,
    };
    let Ok(message) = build_message(client, request, &prompt, key) else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    let Ok(answer) = client.send(message).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    let status = answer.answer.status();
    if !status.is_success() {
        return read_refusal(answer).await;
    }
    match &request.body {
        TraceBody::Completion {
            model,
            output_tokens,
            stream,
            ..
        } => {
            let check = AnswerCheck::new(model, &prompt, *output_tokens);
            if *stream {
                read_stream(answer, check).await
            } else {
                read_whole(answer, check).await
            }
        }
        TraceBody::Order { .. } => read_order(answer, &request.id).await,
    }
}

/// Builds the HTTP request.
fn build_message(
    client: &LoadClient,
    request: &TraceRequest,
    prompt: &str,
    key: Option<&str>,
) -> http::Result<http::Request<Full<Bytes>>> {
    let (path, body) = match &request.body {
        TraceBody::Completion {
            model,
            output_tokens,
            stream,
            ..
        } => {
            let body = serde_json::json!({
                "model": model, "prompt": prompt, "max_tokens": output_tokens, "stream": stream,
            });
            ("/v1/completions".to_owned(), body)
        }
        TraceBody::Order { service, .. } => {
            let body = serde_json::json!({"order": request.id});
            (format!("/{service}/orders"), body)
        }
    };
    let mut builder = http::Request::post(path)
        .header(http::header::HOST, client.address().to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, &request.id);
    if matches!(request.body, TraceBody::Order { .. }) {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, &request.id);
    }
    if let Some(key) = key {
        builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    builder.body(Full::new(Bytes::from(body.to_string())))
}

/// Reads a refusal's verdict and kind.
async fn read_refusal(mut answer: ClientAnswer) -> RequestResult {
    let status = answer.answer.status().as_u16();
    let verdict = header_text(&answer, VERDICT_HEADER);
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let kind = document["error"]["type"].as_str().unwrap_or_default();
    RequestResult::ended(RequestEnd::Refused {
        status,
        verdict,
        kind: kind.to_owned(),
    })
}

/// Reads an answer that comes at once.
async fn read_whole(mut answer: ClientAnswer, mut check: AnswerCheck) -> RequestResult {
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    check.take(&body);
    let end = if check.is_whole() {
        RequestEnd::Answered
    } else {
        RequestEnd::Wrong
    };
    RequestResult {
        end,
        tokens: check.received(),
        first_at: Some(time::Instant::now()),
        gaps: Vec::new(),
    }
}

/// Reads a stream of events.
async fn read_stream(mut answer: ClientAnswer, mut check: AnswerCheck) -> RequestResult {
    let mut events = EventReader::default();
    let mut result = RequestResult::ended(RequestEnd::Broken);
    let mut last_at = None;
    let mut done = false;
    while let Some(frame) = answer.answer.body_mut().frame().await {
        let Ok(frame) = frame else {
            return result;
        };
        let now = time::Instant::now();
        events.push(frame.data_ref().map_or(&[], |data| data));
        while let Some(data) = events.next_data() {
            match check.take(data) {
                AnswerPiece::Tokens(_) => {
                    result.first_at.get_or_insert(now);
                    if let Some(last_at) = last_at.replace(now) {
                        result.gaps.push(now.duration_since(last_at));
                    }
                }
                AnswerPiece::Other => {}
                AnswerPiece::Done => done = true,
                AnswerPiece::Failed => result.end = RequestEnd::FailedStream,
                AnswerPiece::Wrong => result.end = RequestEnd::Wrong,
            }
        }
        result.tokens = check.received();
    }
    answer.recycle();
    if result.end == RequestEnd::Broken {
        result.end = if done && check.is_whole() {
            RequestEnd::Answered
        } else {
            RequestEnd::Wrong
        };
    }
    result
}

/// Reads the answer to an order.
async fn read_order(mut answer: ClientAnswer, order: &str) -> RequestResult {
    let Some(body) = read_body(&mut answer).await else {
        return RequestResult::ended(RequestEnd::Broken);
    };
    answer.recycle();
    let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let end = if document["order"] == order {
        RequestEnd::Answered
    } else {
        RequestEnd::Wrong
    };
    let mut result = RequestResult::ended(end);
    result.first_at = Some(time::Instant::now());
    result
}

/// Reads a body to its end; `None` when it breaks.
async fn read_body(answer: &mut ClientAnswer) -> Option<Bytes> {
    let collected = answer.answer.body_mut().collect().await.ok()?;
    Some(collected.to_bytes())
}

fn header_text(answer: &ClientAnswer, name: &str) -> String {
    let value = answer.answer.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Returns the whole count a second.
fn per_second(count: u64, duration_us: u64) -> u64 {
    count.saturating_mul(1_000_000) / duration_us.max(1)
}
