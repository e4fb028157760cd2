//! Handler of calls to plain services.

use galenahold_domain::name;
use http::{HeaderMap, Response, StatusCode};

use crate::api;
use crate::backend;
use crate::dispatch;
use crate::entry;
use crate::rate;

/// The maximum size of a plain service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Answers calls to plain services; a call that is not idempotent is retried only if it did not run.
#[derive(Debug, Clone)]
pub(crate) struct ServiceHandler {
    attempts: entry::AttemptRunner,
}

/// The complete answer of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceAnswer {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers that are forwarded to the caller.
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: bytes::Bytes,
}

impl ServiceHandler {
    /// Creates a handler whose attempts `attempts` runs.
    pub(crate) fn new(attempts: entry::AttemptRunner) -> Self {
        Self { attempts }
    }

    /// Runs a call, with retries, until its complete answer is read.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether the call may have run.
    pub(crate) async fn run(
        &self,
        call: &entry::ServiceCall,
    ) -> Result<ServiceAnswer, api::RequestRefusal> {
        self.attempts.check_prompt(call)?;
        let mut charge = self.attempts.charge(call).await?;
        let mut state = self.attempts.begin();
        loop {
            match self.attempt(call, &mut charge, &mut state).await {
                Ok(answer) => {
                    if let Some(charge) = charge {
                        charge.finish(call.tokens);
                    }
                    return Ok(answer);
                }
                Err(entry::AttemptStop::Refused(refusal)) => return Err(state.worsen(refusal)),
                Err(entry::AttemptStop::Failed(failed)) => {
                    self.attempts
                        .wait_before_retry(call, &mut charge, &mut state, failed)
                        .await?;
                }
            }
        }
    }

    async fn attempt(
        &self,
        call: &entry::ServiceCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
    ) -> Result<ServiceAnswer, entry::AttemptStop> {
        let ready = self.attempts.prepare(call, charge, state).await?;
        let entry::ReadyAttempt {
            slot,
            attempt,
            connection,
        } = ready;
        let request = call.request(&attempt);
        // Once sent, an order runs until its answer or deadline: aborting it would only lose the
        // outcome.
        let sent = self
            .attempts
            .send(connection, slot.address(), request, call.deadline)
            .await;
        let read = match sent {
            Ok(exchange) => self.read(call, exchange, &attempt).await,
            Err(error) => Err(error),
        };
        match read {
            Ok(answer) => {
                slot.finish(dispatch::AttemptOutcome::Answered);
                self.attempts.crashes().record_end(&call.keys);
                Ok(answer)
            }
            Err(error) => Err(fail_attempt(slot, error)),
        }
    }

    async fn read(
        &self,
        call: &entry::ServiceCall,
        mut exchange: backend::BackendExchange,
        attempt: &name::RequestId,
    ) -> Result<ServiceAnswer, backend::AttemptError> {
        self.attempts.check(&exchange, attempt)?;
        let body = exchange.read_rest(MAX_ANSWER_BYTES, call.deadline).await?;
        if !exchange.is_delimited() {
            let kind = backend::AttemptErrorKind::Cut;
            return Err(backend::AttemptError::may_have_run(kind));
        }
        let status = exchange.head().status;
        if call.idempotent && status.is_server_error() {
            let kind = backend::AttemptErrorKind::ServerError;
            return Err(backend::AttemptError::may_have_run(kind));
        }
        let headers = entry::headers_to_caller(&exchange.head().headers);
        exchange.finish();
        Ok(ServiceAnswer {
            status,
            headers,
            body,
        })
    }
}

impl ServiceAnswer {
    /// Returns the HTTP answer for the caller.
    pub(crate) fn into_response(self) -> Response<api::AnswerBody> {
        let mut answer = Response::new(api::AnswerBody::whole(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers;
        answer
    }
}

fn fail_attempt(slot: dispatch::ReplicaSlot, error: backend::AttemptError) -> entry::AttemptStop {
    // A plain service that refuses one call may accept the next one, so it gets no cooldown.
    let outcome = match error.attempt_outcome() {
        dispatch::AttemptOutcome::ReplicaMissing => dispatch::AttemptOutcome::Answered,
        outcome => outcome,
    };
    entry::AttemptStop::Failed(entry::FailedAttempt::new(slot, outcome, error))
}
