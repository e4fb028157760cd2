//! Answers calls to models.

use std::future;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::verdict;
use galenahold_routing::retry;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use log::debug;
use serde::Deserialize;

use crate::backend;
use crate::dispatch;
use crate::entry;
use crate::face;
use crate::platform;
use crate::rate;
use crate::task;

/// The largest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// The header that names the team to engines, for their own accounts.
const TEAM_HEADER: &str = "x-team";

/// The header that names the request to go on with.
const RESUME_ID_HEADER: &str = "x-resume-request-id";

/// The header that says after how many output tokens to go on.
const RESUME_OFFSET_HEADER: &str = "x-resume-offset";

/// Answers calls to models: charges tokens, waits for a replica, sends, and sends again where allowed.
#[derive(Debug, Clone)]
pub(crate) struct ModelDesk {
    keeper: rate::RateKeeper,
    dispatcher: dispatch::Dispatcher,
    client: backend::BackendClient,
    rule: entry::AttemptRule,
    metrics: platform::FleetMetrics,
    group: task::TaskGroup,
}

/// Where an earlier attempt's output is to be gone on with.
#[derive(Debug, Clone)]
pub(crate) struct ResumePoint {
    /// The id of the first attempt.
    pub(crate) attempt: name::RequestId,
    /// Output tokens that the caller has.
    pub(crate) offset: u64,
}

/// An answer whose head came, and the slot that it holds.
#[derive(Debug)]
pub(crate) struct OpenedAnswer {
    /// The slot.
    pub(crate) slot: dispatch::ReplicaSlot,
    /// The answer.
    pub(crate) exchange: backend::BackendExchange,
    /// The id of the attempt.
    pub(crate) attempt: name::RequestId,
}

/// Why an attempt did not open an answer.
enum AttemptStop {
    Refused(face::RequestRefusal),
    Failed(FailedAttempt),
}

/// An attempt that failed, and the backend server at which it did.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// What failed.
    pub(crate) error: backend::AttemptError,
    /// The backend server.
    pub(crate) server: name::ServerName,
}

/// What goes from attempt to attempt of one call.
#[derive(Debug)]
pub(crate) struct AttemptState {
    /// Attempts so far.
    pub(crate) count: u32,
    backoff: retry::RetryBackoff,
    avoid: Option<name::ServerName>,
    worst: verdict::RequestVerdict,
}

#[derive(Debug, Deserialize)]
struct AnswerDocument {
    #[serde(default)]
    usage: Option<entry::UsageDocument>,
}

impl ModelDesk {
    /// Creates a desk.
    pub(crate) fn new(
        keeper: rate::RateKeeper,
        dispatcher: dispatch::Dispatcher,
        client: backend::BackendClient,
        rule: entry::AttemptRule,
        metrics: platform::FleetMetrics,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            keeper,
            dispatcher,
            client,
            rule,
            metrics,
            group,
        }
    }

    /// Returns the metrics.
    pub(crate) fn metrics(&self) -> &platform::FleetMetrics {
        &self.metrics
    }

    /// Answers a call.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether the call may have run.
    pub(crate) async fn serve(
        &self,
        call: entry::ModelCall,
    ) -> Result<Response<face::AnswerBody>, face::RequestRefusal> {
        let mut charge = self.charge(&call).await?;
        let mut state = self.begin();
        loop {
            let opened = self.open(&call, &mut charge, &mut state, None).await?;
            let status = opened.exchange.head().status;
            if call.request.stream() && status.is_success() {
                return Ok(self.stream(call, charge, state, opened));
            }
            match self.read(&call, opened).await? {
                Ok(answer) => return Ok(Self::finish(&call, charge, answer)),
                Err(failed) => self.pause(&call, &mut charge, &mut state, failed).await?,
            }
        }
    }

    /// Opens an answer, in as many attempts as the rule allows.
    pub(crate) async fn open(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut AttemptState,
        resume: Option<&ResumePoint>,
    ) -> Result<OpenedAnswer, face::RequestRefusal> {
        loop {
            state.count += 1;
            match self.attempt(call, charge, state, resume).await {
                Ok(opened) => return Ok(opened),
                Err(AttemptStop::Refused(refusal)) => return Err(state.worsen(refusal)),
                Err(AttemptStop::Failed(failed)) => {
                    self.pause(call, charge, state, failed).await?;
                }
            }
        }
    }

    /// Opens the rest of an answer that was cut, after the pause that the rule sets.
    ///
    /// # Errors
    ///
    /// The refusal that ends the stream.
    pub(crate) async fn reopen(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut AttemptState,
        failed: FailedAttempt,
        resume: Option<ResumePoint>,
    ) -> Result<OpenedAnswer, face::RequestRefusal> {
        self.pause(call, charge, state, failed).await?;
        self.open(call, charge, state, resume.as_ref()).await
    }

    /// Pauses before the next attempt.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets where there must be no further attempt.
    async fn pause(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut AttemptState,
        failed: FailedAttempt,
    ) -> Result<(), face::RequestRefusal> {
        debug!(
            request:% = call.id,
            server:% = failed.server,
            error:% = failed.error;
            "attempt failed"
        );
        state.worst = state.worst.max(failed.error.verdict);
        if state.worst == verdict::RequestVerdict::NotRun
            && let Some(charge) = charge
        {
            charge.not_run();
        }
        state.avoid = Some(failed.server);
        // A model's answer has no effect beyond itself, so a call to it is idempotent.
        let pause = self.rule.next_pause(
            &mut state.backoff,
            failed.error.verdict,
            true,
            state.count,
            call.deadline,
        );
        let Some(pause) = pause else {
            return Err(state.worsen(refuse_failed(&failed.error)));
        };
        self.metrics.retries.inc();
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Returns the state before the first attempt.
    fn begin(&self) -> AttemptState {
        self.rule.count_request();
        AttemptState {
            count: 0,
            backoff: self.rule.backoff(),
            avoid: None,
            worst: verdict::RequestVerdict::NotRun,
        }
    }

    async fn charge(
        &self,
        call: &entry::ModelCall,
    ) -> Result<Option<rate::TokenCharge>, face::RequestRefusal> {
        let Some(team) = call.identity.team() else {
            return Ok(None);
        };
        let charging = self.keeper.charge(team, call.token_bound, call.deadline);
        let not_run = verdict::RequestVerdict::NotRun;
        let charge = guarded(&call.guard, not_run, charging).await??;
        Ok(Some(charge))
    }

    async fn attempt(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &AttemptState,
        resume: Option<&ResumePoint>,
    ) -> Result<OpenedAnswer, AttemptStop> {
        let slot = self.acquire(call, state).await?;
        let attempt = name::RequestId::from(format!("{}-{}", call.id, state.count));
        let request = engine_request(call, &attempt, resume);
        let address = slot.address().clone();
        let connecting = self
            .client
            .connect(&address, backend::ConnectionUse::Pooled)
            .await;
        let connection = match connecting {
            Ok(connection) => connection,
            Err(error) => return Err(fail(slot, error)),
        };
        if let Some(charge) = charge {
            charge.confirm(call.deadline).await?;
        }
        call.guard.check_before_send()?;
        call.end.sent();
        let sending = self
            .client
            .send(connection, &address, request, call.deadline);
        let sent = guarded(&call.guard, verdict::RequestVerdict::MayHaveRun, sending).await?;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(error) => return Err(fail(slot, error)),
        };
        self.check(slot, exchange, attempt)
    }

    async fn acquire(
        &self,
        call: &entry::ModelCall,
        state: &AttemptState,
    ) -> Result<dispatch::ReplicaSlot, AttemptStop> {
        let team = call.identity.team();
        let weight = team
            .and_then(|team| self.keeper.weight(team))
            .unwrap_or(1.0);
        let wanted = call.slot_request(weight, state.avoid.clone());
        let acquiring = self.dispatcher.acquire(wanted);
        let slot = guarded(&call.guard, verdict::RequestVerdict::NotRun, acquiring).await??;
        Ok(slot)
    }

    fn check(
        &self,
        slot: dispatch::ReplicaSlot,
        exchange: backend::BackendExchange,
        attempt: name::RequestId,
    ) -> Result<OpenedAnswer, AttemptStop> {
        if let Err(error) = entry::check_exchange(exchange.head(), &attempt) {
            if error.kind == backend::AttemptErrorKind::Crossed {
                self.metrics.crossed.inc();
            }
            return Err(fail(slot, error));
        }
        // The path and the model are known here, so the engine no longer holds the replica.
        if exchange.head().status == StatusCode::NOT_FOUND {
            let error = backend::AttemptError::not_run(backend::AttemptErrorKind::Refused);
            return Err(fail(slot, error));
        }
        if exchange.head().status.is_server_error() {
            let error = backend::AttemptError::may_have_run(backend::AttemptErrorKind::ServerError);
            return Err(fail(slot, error));
        }
        Ok(OpenedAnswer {
            slot,
            exchange,
            attempt,
        })
    }

    /// Reads an answer that is not streamed to its end.
    async fn read(
        &self,
        call: &entry::ModelCall,
        opened: OpenedAnswer,
    ) -> Result<Result<Response<face::AnswerBody>, FailedAttempt>, face::RequestRefusal> {
        let OpenedAnswer {
            slot, mut exchange, ..
        } = opened;
        let reading = exchange.read_rest(MAX_ANSWER_BYTES, call.deadline);
        let read = guarded(&call.guard, verdict::RequestVerdict::MayHaveRun, reading).await?;
        let whole = read.and_then(|body| {
            if exchange.is_delimited() {
                Ok(body)
            } else {
                Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Cut,
                ))
            }
        });
        let server = slot.address().server.clone();
        let body = match whole {
            Ok(body) => body,
            Err(error) => {
                slot.finish(dispatch::AttemptEnd::Failed);
                return Ok(Err(FailedAttempt { error, server }));
            }
        };
        slot.finish(dispatch::AttemptEnd::Answered);
        let mut answer = Response::new(face::AnswerBody::whole(body));
        *answer.status_mut() = exchange.head().status;
        *answer.headers_mut() = entry::headers_to_caller(&exchange.head().headers);
        exchange.finish();
        Ok(Ok(answer))
    }

    fn finish(
        call: &entry::ModelCall,
        charge: Option<rate::TokenCharge>,
        mut answer: Response<face::AnswerBody>,
    ) -> Response<face::AnswerBody> {
        let usage = read_usage(answer.body());
        let ran = answer.status().is_success();
        let spent = if ran {
            call.spent(usage, 0)
        } else {
            amount::TokenCount::ZERO
        };
        if let Some(charge) = charge {
            charge.finish(spent);
        }
        call.end.first_token();
        call.end.answered(answer.status().as_u16(), spent.0);
        stamp(&mut answer, &call.id, ran);
        answer
    }

    fn stream(
        &self,
        call: entry::ModelCall,
        charge: Option<rate::TokenCharge>,
        state: AttemptState,
        opened: OpenedAnswer,
    ) -> Response<face::AnswerBody> {
        let (sender, body) = face::AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = opened.exchange.head().status;
        *answer.headers_mut() = entry::headers_to_caller(&opened.exchange.head().headers);
        stamp(&mut answer, &call.id, true);
        answer
            .headers_mut()
            .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        let stream = entry::ModelStream::new(self.clone(), call, charge, state, opened, sender);
        self.group.spawn(stream.run());
        answer
    }
}

impl AttemptState {
    /// Gives a refusal the worst verdict of all attempts.
    fn worsen(&self, mut refusal: face::RequestRefusal) -> face::RequestRefusal {
        refusal.verdict = refusal.verdict.max(self.worst);
        refusal
    }
}

impl From<face::RequestRefusal> for AttemptStop {
    fn from(refusal: face::RequestRefusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Does work for as long as the key admits it.
///
/// # Errors
///
/// A refusal with `verdict` where the key was withdrawn or can no longer be confirmed.
pub(crate) async fn guarded<Output>(
    guard: &entry::KeyGuard,
    verdict: verdict::RequestVerdict,
    work: impl future::Future<Output = Output>,
) -> Result<Output, face::RequestRefusal> {
    let mut guard = guard.clone();
    tokio::select! {
        biased;
        output = work => Ok(output),
        kind = guard.revoked() => Err(face::RequestRefusal::new(
            kind,
            verdict,
            "the key no longer admits the request",
        )),
    }
}

/// Marks an answer with the request's id and its verdict.
pub(crate) fn stamp(answer: &mut Response<face::AnswerBody>, id: &name::RequestId, ran: bool) {
    let verdict = if ran {
        verdict::RequestVerdict::Ran
    } else {
        verdict::RequestVerdict::MayHaveRun
    };
    let headers = answer.headers_mut();
    headers.insert(
        face::VERDICT_HEADER,
        HeaderValue::from_static(verdict.as_str()),
    );
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(entry::REQUEST_ID_HEADER, value);
    }
}

/// Returns the refusal that a caller gets after the last failed attempt.
pub(crate) fn refuse_failed(error: &backend::AttemptError) -> face::RequestRefusal {
    let kind = match error.kind {
        backend::AttemptErrorKind::Timeout => face::RefusalKind::DeadlineExceeded,
        _ if error.verdict == verdict::RequestVerdict::NotRun => {
            face::RefusalKind::BackendUnavailable
        }
        _ => face::RefusalKind::BackendFailed,
    };
    face::RequestRefusal::new(kind, error.verdict, error.kind.to_string())
        .retry_after(time::Duration::from_secs(1))
}

fn fail(slot: dispatch::ReplicaSlot, error: backend::AttemptError) -> AttemptStop {
    let server = slot.address().server.clone();
    slot.finish(error.attempt_end());
    AttemptStop::Failed(FailedAttempt { error, server })
}

fn engine_request(
    call: &entry::ModelCall,
    attempt: &name::RequestId,
    resume: Option<&ResumePoint>,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = Method::POST;
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set("x-request-id", attempt);
    set(TEAM_HEADER, &call.identity.team_or_empty());
    if let Some(resume) = resume {
        set(RESUME_ID_HEADER, &resume.attempt);
        set(RESUME_OFFSET_HEADER, &resume.offset.to_string());
    }
    request
        .headers_mut()
        .insert(header::HOST, HeaderValue::from_static("backend"));
    request
}

fn read_usage(body: &face::AnswerBody) -> Option<entry::UsageDocument> {
    let bytes = body.as_whole()?;
    serde_json::from_slice::<AnswerDocument>(bytes).ok()?.usage
}
