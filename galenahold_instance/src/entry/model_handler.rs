//! Handler of calls to models.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::verdict;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use serde::Deserialize;

use crate::api;
use crate::backend;
use crate::crash;
use crate::dispatch;
use crate::entry;
use crate::platform;
use crate::rate;
use crate::task;

/// The maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// The header that states the team to engines, for their own accounting.
const TEAM_HEADER: &str = "x-team";

/// The header that states the id of the request whose answer is to be resumed.
const RESUME_ID_HEADER: &str = "x-resume-request-id";

/// The header that states after how many output tokens to resume.
const RESUME_OFFSET_HEADER: &str = "x-resume-offset";

/// Answers calls to models: charges tokens, waits for a replica, sends the request and retries where
/// allowed.
#[derive(Debug, Clone)]
pub(crate) struct ModelHandler {
    attempts: entry::AttemptRunner,
    group: task::TaskGroup,
}

/// The point at which the output of an earlier attempt is resumed.
#[derive(Debug, Clone)]
pub(crate) struct ResumePoint {
    /// The id of the first attempt, which the engine resumes.
    pub(crate) attempt: name::RequestId,
    /// The number of output tokens that the caller has received.
    pub(crate) offset: u64,
}

/// An answer whose head has arrived, with the slot that it occupies.
#[derive(Debug)]
pub(crate) struct OpenedAnswer {
    /// The slot at the replica.
    pub(crate) slot: dispatch::ReplicaSlot,
    /// The answer, whose body has not been read yet.
    pub(crate) exchange: backend::BackendExchange,
    /// The id of the attempt.
    pub(crate) attempt: name::RequestId,
}

#[derive(Debug, Deserialize)]
struct AnswerDocument {
    #[serde(default)]
    usage: Option<entry::UsageDocument>,
}

impl ModelHandler {
    /// Creates a handler whose streams run in `group`.
    pub(crate) fn new(attempts: entry::AttemptRunner, group: task::TaskGroup) -> Self {
        Self { attempts, group }
    }

    /// Returns the instance's metrics.
    pub(crate) fn metrics(&self) -> &platform::FleetMetrics {
        self.attempts.metrics()
    }

    /// Answers a call with a complete answer or a stream, retrying where allowed.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether the call may have run.
    pub(crate) async fn serve(
        &self,
        call: entry::ModelCall,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        self.attempts.check_prompt(&call)?;
        let mut charge = self.attempts.charge(&call).await?;
        let mut state = self.attempts.begin();
        loop {
            let opened = self.open(&call, &mut charge, &mut state, None).await?;
            let status = opened.exchange.head().status;
            if call.request.stream() && status.is_success() {
                return Ok(self.stream(call, charge, state, opened));
            }
            match self.read(&call, opened).await? {
                Ok(answer) => return Ok(Self::finish(&call, charge, answer)),
                Err(failed) => {
                    self.attempts
                        .wait_before_retry(&call, &mut charge, &mut state, failed)
                        .await?;
                }
            }
        }
    }

    /// Opens an answer, with as many attempts as the retry policy allows.
    pub(crate) async fn open(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
        resume: Option<&ResumePoint>,
    ) -> Result<OpenedAnswer, api::RequestRefusal> {
        loop {
            match self.attempt(call, charge, state, resume).await {
                Ok(opened) => return Ok(opened),
                Err(entry::AttemptStop::Refused(refusal)) => return Err(state.worsen(refusal)),
                Err(entry::AttemptStop::Failed(failed)) => {
                    self.attempts
                        .wait_before_retry(call, charge, state, failed)
                        .await?;
                }
            }
        }
    }

    /// Opens the remainder of an answer that was cut short, after the delay that the retry policy
    /// sets.
    ///
    /// # Errors
    ///
    /// The refusal that ends the stream.
    pub(crate) async fn reopen(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
        failed: entry::FailedAttempt,
        resume: Option<ResumePoint>,
    ) -> Result<OpenedAnswer, api::RequestRefusal> {
        self.attempts
            .wait_before_retry(call, charge, state, failed)
            .await?;
        let opened = self.open(call, charge, state, resume.as_ref()).await?;
        let status = opened.exchange.head().status;
        if status.is_success() {
            return Ok(opened);
        }
        // The body of an error must not be passed on as part of the stream.
        Err(api::RequestRefusal::new(
            api::RefusalKind::BackendFailed,
            verdict::RequestVerdict::Ran,
            format!("the answer was cut short, and its rest was refused with status {status}"),
        ))
    }

    /// Records that the answer to a call began.
    pub(crate) fn record_start(&self, call: &entry::ModelCall) {
        self.attempts.crashes().record_start(&call.keys);
    }

    /// Records that the answer to a call was completed.
    pub(crate) fn record_end(&self, call: &entry::ModelCall) {
        self.attempts.crashes().record_end(&call.keys);
    }

    /// Waits until the prompt of a call that was sent is blocked, and returns the refusal.
    pub(crate) async fn wait_until_blocked(&self, call: &entry::ModelCall) -> api::RequestRefusal {
        let crashes = self.attempts.crashes();
        let blocked = crashes.wait_until_blocked(&call.keys).await;
        api::RequestRefusal::new(
            api::RefusalKind::BackendFailed,
            verdict::RequestVerdict::MayHaveRun,
            crash::refuse_prompt(&blocked).message,
        )
    }

    async fn attempt(
        &self,
        call: &entry::ModelCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
        resume: Option<&ResumePoint>,
    ) -> Result<OpenedAnswer, entry::AttemptStop> {
        let ready = self.attempts.prepare(call, charge, state).await?;
        let entry::ReadyAttempt {
            slot,
            attempt,
            connection,
        } = ready;
        let request = engine_request(call, &attempt, resume);
        let sending = self
            .attempts
            .send(connection, slot.address(), request, call.deadline);
        let may_have_run = verdict::RequestVerdict::MayHaveRun;
        let sending = entry::run_while_authorized(&call.guard, may_have_run, sending);
        let sent = tokio::select! {
            sent = sending => sent?,
            // Dropping the send closes the connection, which cancels the request at the server.
            refusal = self.wait_until_blocked(call) => {
                return Err(entry::AttemptStop::Refused(refusal));
            }
        };
        let checked = sent.and_then(|exchange| {
            self.attempts.check(&exchange, &attempt)?;
            check_status(&exchange)?;
            Ok(exchange)
        });
        match checked {
            Ok(exchange) => Ok(OpenedAnswer {
                slot,
                exchange,
                attempt,
            }),
            Err(error) => Err(entry::fail_attempt(slot, error)),
        }
    }

    /// Reads an answer that is not streamed to the end of its body.
    async fn read(
        &self,
        call: &entry::ModelCall,
        opened: OpenedAnswer,
    ) -> Result<Result<Response<api::AnswerBody>, entry::FailedAttempt>, api::RequestRefusal> {
        let OpenedAnswer {
            slot, mut exchange, ..
        } = opened;
        let reading = exchange.read_rest(MAX_ANSWER_BYTES, call.deadline);
        let read =
            entry::run_while_authorized(&call.guard, verdict::RequestVerdict::MayHaveRun, reading)
                .await?;
        let whole = read.and_then(|body| {
            if exchange.is_delimited() {
                Ok(body)
            } else {
                Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Cut,
                ))
            }
        });
        let body = match whole {
            Ok(body) => body,
            Err(error) => {
                let outcome = dispatch::AttemptOutcome::Failed;
                return Ok(Err(entry::FailedAttempt::new(slot, outcome, error)));
            }
        };
        slot.finish(dispatch::AttemptOutcome::Answered);
        self.record_start(call);
        self.record_end(call);
        let mut answer = Response::new(api::AnswerBody::whole(body));
        *answer.status_mut() = exchange.head().status;
        *answer.headers_mut() = entry::headers_to_caller(&exchange.head().headers);
        exchange.finish();
        Ok(Ok(answer))
    }

    fn finish(
        call: &entry::ModelCall,
        charge: Option<rate::TokenCharge>,
        mut answer: Response<api::AnswerBody>,
    ) -> Response<api::AnswerBody> {
        let usage = read_usage(answer.body());
        let has_run = answer.status().is_success();
        let spent = if has_run {
            call.spent(usage, 0)
        } else {
            amount::TokenCount::ZERO
        };
        if let Some(charge) = charge {
            charge.finish(spent);
        }
        call.recorder.record_first_token();
        call.recorder
            .record_answered(answer.status().as_u16(), spent.0);
        insert_answer_headers(&mut answer, &call.id, has_run);
        answer
    }

    fn stream(
        &self,
        call: entry::ModelCall,
        charge: Option<rate::TokenCharge>,
        state: entry::AttemptState,
        opened: OpenedAnswer,
    ) -> Response<api::AnswerBody> {
        let (sender, body) = api::AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = opened.exchange.head().status;
        *answer.headers_mut() = entry::headers_to_caller(&opened.exchange.head().headers);
        insert_answer_headers(&mut answer, &call.id, true);
        answer
            .headers_mut()
            .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        let stream = entry::ModelStream::new(self.clone(), call, charge, state, opened, sender);
        self.group.spawn(stream.run());
        answer
    }
}

/// Inserts the headers with the request's id and its verdict into an answer.
pub(crate) fn insert_answer_headers(
    answer: &mut Response<api::AnswerBody>,
    id: &name::RequestId,
    has_run: bool,
) {
    let verdict = if has_run {
        verdict::RequestVerdict::Ran
    } else {
        verdict::RequestVerdict::MayHaveRun
    };
    let headers = answer.headers_mut();
    headers.insert(
        api::VERDICT_HEADER,
        HeaderValue::from_static(verdict.as_str()),
    );
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(entry::REQUEST_ID_HEADER, value);
    }
}

/// Rejects a status that means that the engine no longer has the replica, or that it failed.
fn check_status(exchange: &backend::BackendExchange) -> Result<(), backend::AttemptError> {
    let status = exchange.head().status;
    // The path and the model exist, so 404 means that the engine no longer has the replica.
    if status == StatusCode::NOT_FOUND {
        return Err(entry::refusal_error(exchange.head(), exchange.is_reused()));
    }
    if status.is_server_error() {
        return Err(backend::AttemptError::may_have_run(
            backend::AttemptErrorKind::ServerError,
        ));
    }
    Ok(())
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

fn read_usage(body: &api::AnswerBody) -> Option<entry::UsageDocument> {
    let bytes = body.as_whole()?;
    serde_json::from_slice::<AnswerDocument>(bytes).ok()?.usage
}
