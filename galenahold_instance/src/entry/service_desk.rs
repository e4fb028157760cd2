//! Answers calls to plain services.

use galenahold_domain::name;
use galenahold_domain::verdict;
use galenahold_routing::retry;
use http::{HeaderMap, Response, StatusCode};
use log::debug;

use crate::backend;
use crate::dispatch;
use crate::entry;
use crate::entry::model_desk::{guarded, refuse_failed};
use crate::face;
use crate::platform;
use crate::rate;

/// The largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Answers calls to plain services; one that may not be repeated is sent again only if it did not run.
#[derive(Debug, Clone)]
pub(crate) struct ServiceDesk {
    keeper: rate::RateKeeper,
    dispatcher: dispatch::Dispatcher,
    client: backend::BackendClient,
    rule: entry::AttemptRule,
    metrics: platform::FleetMetrics,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceAnswer {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers that the caller gets.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: bytes::Bytes,
}

/// What goes from attempt to attempt of one call.
struct AttemptState {
    count: u32,
    backoff: retry::RetryBackoff,
    avoid: Option<name::ServerName>,
    worst: verdict::RequestVerdict,
}

/// Why an attempt brought no answer.
enum AttemptStop {
    Refused(face::RequestRefusal),
    Failed {
        error: backend::AttemptError,
        server: name::ServerName,
    },
}

impl ServiceDesk {
    /// Creates a desk.
    pub(crate) fn new(
        keeper: rate::RateKeeper,
        dispatcher: dispatch::Dispatcher,
        client: backend::BackendClient,
        rule: entry::AttemptRule,
        metrics: platform::FleetMetrics,
    ) -> Self {
        Self {
            keeper,
            dispatcher,
            client,
            rule,
            metrics,
        }
    }

    /// Runs a call to its whole answer.
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether the call may have run.
    pub(crate) async fn run(
        &self,
        call: &entry::ServiceCall,
    ) -> Result<ServiceAnswer, face::RequestRefusal> {
        let mut charge = self.charge(call).await?;
        let mut state = self.begin();
        loop {
            state.count += 1;
            match self.attempt(call, &mut charge, &state).await {
                Ok(answer) => {
                    if let Some(charge) = charge {
                        charge.finish(call.tokens);
                    }
                    return Ok(answer);
                }
                Err(AttemptStop::Refused(refusal)) => return Err(state.worsen(refusal)),
                Err(AttemptStop::Failed { error, server }) => {
                    state.avoid = Some(server);
                    self.pause(call, &mut charge, &mut state, &error).await?;
                }
            }
        }
    }

    async fn pause(
        &self,
        call: &entry::ServiceCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut AttemptState,
        error: &backend::AttemptError,
    ) -> Result<(), face::RequestRefusal> {
        debug!(request:% = call.id, error:% = error; "attempt failed");
        state.worst = state.worst.max(error.verdict);
        if state.worst == verdict::RequestVerdict::NotRun
            && let Some(charge) = charge
        {
            charge.not_run();
        }
        let pause = self.rule.next_pause(
            &mut state.backoff,
            error.verdict,
            call.idempotent,
            state.count,
            call.deadline,
        );
        let Some(pause) = pause else {
            return Err(state.worsen(refuse_failed(error)));
        };
        self.metrics.retries.inc();
        tokio::time::sleep(pause).await;
        Ok(())
    }

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
        call: &entry::ServiceCall,
    ) -> Result<Option<rate::TokenCharge>, face::RequestRefusal> {
        let Some(team) = call.identity.team().filter(|_| call.tokens.0 > 0) else {
            return Ok(None);
        };
        let charging = self.keeper.charge(team, call.tokens, call.deadline);
        let not_run = verdict::RequestVerdict::NotRun;
        let charge = guarded(&call.guard, not_run, charging).await??;
        Ok(Some(charge))
    }

    async fn attempt(
        &self,
        call: &entry::ServiceCall,
        charge: &mut Option<rate::TokenCharge>,
        state: &AttemptState,
    ) -> Result<ServiceAnswer, AttemptStop> {
        let slot = self.acquire(call, state).await?;
        let attempt = name::RequestId::from(format!("{}-{}", call.id, state.count));
        let address = slot.address().clone();
        let reuse = if call.idempotent {
            backend::ConnectionUse::Pooled
        } else {
            backend::ConnectionUse::Fresh
        };
        let connecting = self.client.connect(&address, reuse).await;
        let connection = match connecting {
            Ok(connection) => connection,
            Err(error) => return Err(fail(slot, error)),
        };
        if let Some(charge) = charge {
            charge.confirm(call.deadline).await?;
        }
        call.guard.check_before_send()?;
        call.end.sent();
        let request = call.request(&attempt);
        // Once sent, an order goes on to its answer: breaking it off would only lose the outcome.
        let sent = self
            .client
            .send(connection, &address, request, call.deadline)
            .await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(error) => return Err(fail(slot, error)),
        };
        self.read(call, slot, exchange, &attempt).await
    }

    async fn acquire(
        &self,
        call: &entry::ServiceCall,
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

    async fn read(
        &self,
        call: &entry::ServiceCall,
        slot: dispatch::ReplicaSlot,
        mut exchange: backend::BackendExchange,
        attempt: &name::RequestId,
    ) -> Result<ServiceAnswer, AttemptStop> {
        if let Err(error) = entry::check_exchange(exchange.head(), attempt) {
            if error.kind == backend::AttemptErrorKind::Crossed {
                self.metrics.crossed.inc();
            }
            return Err(fail(slot, error));
        }
        let read = exchange.read_rest(MAX_ANSWER_BYTES, call.deadline).await;
        let body = match read {
            Ok(body) if exchange.is_delimited() => body,
            Ok(_) => {
                let kind = backend::AttemptErrorKind::Cut;
                return Err(fail(slot, backend::AttemptError::may_have_run(kind)));
            }
            Err(error) => return Err(fail(slot, error)),
        };
        let status = exchange.head().status;
        if call.idempotent && status.is_server_error() {
            let kind = backend::AttemptErrorKind::ServerError;
            return Err(fail(slot, backend::AttemptError::may_have_run(kind)));
        }
        slot.finish(dispatch::AttemptEnd::Answered);
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
    /// Returns the answer for the caller.
    pub(crate) fn into_response(self) -> Response<face::AnswerBody> {
        let mut answer = Response::new(face::AnswerBody::whole(self.body));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers;
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

fn fail(slot: dispatch::ReplicaSlot, error: backend::AttemptError) -> AttemptStop {
    let server = slot.address().server.clone();
    // A plain service that refuses one call may take the next.
    slot.finish(match error.attempt_end() {
        dispatch::AttemptEnd::Denied => dispatch::AttemptEnd::Answered,
        end => end,
    });
    AttemptStop::Failed { error, server }
}
