//! What the tasks of a run share.

use std::sync;
use std::sync::atomic;
use std::time;

use super::answer_check::AnswerCheck;
use super::answer_reader::{read_order, read_refusal, read_stream, read_whole};
use super::load_client::LoadClient;
use super::request_end::RequestEnd;
use super::request_message::build_message;
use super::request_result::RequestResult;
use super::result_collector::ResultCollector;
use super::target_pool::TargetPool;
use super::{LoadSettings, RouteKind, TraceBody, TraceRequest};
use crate::state_lock;

/// What the tasks of a run share.
#[derive(Debug)]
pub(crate) struct RunState {
    /// Targets and keys.
    pub(crate) settings: LoadSettings,
    /// The connections.
    pub(crate) pool: TargetPool,
    /// Requests that could go both ways.
    pub(crate) straight_turns: atomic::AtomicUsize,
    /// The results so far.
    pub(crate) results: state_lock::StateLock<ResultCollector>,
    /// By how much sending fell behind at worst.
    pub(crate) worst_send_lag_us: atomic::AtomicU64,
}

/// Sends one request and enters its result.
pub(crate) async fn run_request(
    state: sync::Arc<RunState>,
    request: TraceRequest,
    due: time::Instant,
) {
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
