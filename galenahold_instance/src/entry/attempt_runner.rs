//! Runs the attempts of calls to backend servers.

use std::future;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_domain::verdict;
use http::{Request, response};
use http_body_util::Full;
use log::{debug, info, warn};
use tokio::sync as tokio_sync;

use crate::api;
use crate::backend;
use crate::crash;
use crate::dispatch;
use crate::entry;
use crate::platform;
use crate::rate;

/// Runs the attempts of calls: charges tokens, waits for a replica, rechecks the key and the charge,
/// sends the request and decides about retries.
#[derive(Debug, Clone)]
pub(crate) struct AttemptRunner {
    limiter: rate::RateLimiter,
    dispatcher: dispatch::Dispatcher,
    client: backend::BackendClient,
    policy: entry::AttemptPolicy,
    crashes: crash::CrashMonitor,
    /// Records departures that backend servers announce in answers.
    departures: tokio_sync::mpsc::Sender<fleet::ServerDeparture>,
    metrics: platform::FleetMetrics,
}

/// An attempt that is ready to be sent, with its replica slot, connection and id.
#[derive(Debug)]
pub(crate) struct ReadyAttempt {
    /// The slot at the replica.
    pub(crate) slot: dispatch::ReplicaSlot,
    /// The id of the attempt, sent as the request id to the backend server.
    pub(crate) attempt: name::RequestId,
    /// The connection to the backend server.
    pub(crate) connection: backend::PooledConnection,
}

impl AttemptRunner {
    /// Creates a runner that sends attempts through `client`.
    pub(crate) fn new(
        limiter: rate::RateLimiter,
        dispatcher: dispatch::Dispatcher,
        client: backend::BackendClient,
        policy: entry::AttemptPolicy,
        crashes: crash::CrashMonitor,
        departures: tokio_sync::mpsc::Sender<fleet::ServerDeparture>,
        metrics: platform::FleetMetrics,
    ) -> Self {
        Self {
            limiter,
            dispatcher,
            client,
            policy,
            crashes,
            departures,
            metrics,
        }
    }

    /// Returns the monitor of requests that crash backend servers.
    pub(crate) fn crashes(&self) -> &crash::CrashMonitor {
        &self.crashes
    }

    /// Returns the instance's metrics.
    pub(crate) fn metrics(&self) -> &platform::FleetMetrics {
        &self.metrics
    }

    /// Counts a new call and returns its state before the first attempt.
    pub(crate) fn begin(&self) -> entry::AttemptState {
        self.policy.count_request();
        entry::AttemptState::new(self.policy.backoff())
    }

    /// Checks that a call is not blocked.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun`.
    pub(crate) fn check_prompt<Call: entry::AttemptCall>(
        &self,
        call: &Call,
    ) -> Result<(), api::RequestRefusal> {
        match self.crashes.check(call.keys()) {
            Some(refusal) => {
                self.metrics.blocked.inc();
                Err(crash::refuse_prompt(&refusal))
            }
            None => Ok(()),
        }
    }

    /// Charges the tokens of a call; `None` on an open route or for a call without tokens.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun`.
    pub(crate) async fn charge<Call: entry::AttemptCall>(
        &self,
        call: &Call,
    ) -> Result<Option<rate::TokenCharge>, api::RequestRefusal> {
        let tokens = call.charged_tokens();
        let Some(team) = call.identity().team().filter(|_| tokens.0 > 0) else {
            return Ok(None);
        };
        let demand = rate::TokenDemand {
            team: team.clone(),
            tokens,
            rank: 0,
            is_returning: false,
        };
        let charging = self.limiter.charge(demand, call.deadline());
        let charge = run_while_wanted(call, charging).await??;
        Ok(Some(charge))
    }

    /// Waits for a replica and a connection to it, then rechecks the charge, the key and the replica
    /// before the send.
    ///
    /// # Errors
    ///
    /// The call is refused or the backend server could not be connected; either way it has not run.
    pub(crate) async fn prepare<Call: entry::AttemptCall>(
        &self,
        call: &Call,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
    ) -> Result<ReadyAttempt, entry::AttemptStop> {
        state.count += 1;
        run_while_wanted(call, self.crashes.delay_suspect(call.keys())).await?;
        self.check_prompt(call)?;
        let slot = self.acquire(call, state).await?;
        let connecting = self
            .client
            .connect(slot.address(), call.connection_reuse())
            .await;
        let connection = match connecting {
            Ok(connection) => connection,
            Err(error) => return Err(fail_attempt(slot, error)),
        };
        if let Some(charge) = charge {
            charge.confirm(call.deadline()).await?;
        }
        run_while_wanted(call, future::ready(())).await?;
        call.guard().check_before_send()?;
        self.check_prompt(call)?;
        if !slot.may_send() {
            let error = backend::AttemptError::not_run(backend::AttemptErrorKind::Departed);
            return Err(fail_attempt(slot, error));
        }
        call.recorder().record_sent();
        Ok(ReadyAttempt {
            slot,
            attempt: name::RequestId::from(format!("{}-{}", call.id(), state.count)),
            connection,
        })
    }

    /// Sends a request and waits for the answer's head until `deadline`.
    ///
    /// # Errors
    ///
    /// The error's verdict says whether the request may have run.
    pub(crate) async fn send(
        &self,
        connection: backend::PooledConnection,
        address: &backend::BackendAddress,
        request: Request<Full<bytes::Bytes>>,
        deadline: time::Instant,
    ) -> Result<backend::BackendExchange, backend::AttemptError> {
        let exchange = self
            .client
            .send(connection, address, request, deadline)
            .await?;
        self.apply_statements(address, exchange.head());
        Ok(exchange)
    }

    /// Applies what a backend server states about itself in an answer: that it leaves, or wants a pause.
    fn apply_statements(&self, address: &backend::BackendAddress, head: &response::Parts) {
        if let Some(pause) = entry::stated_pause(head) {
            info!(
                server:% = address.server,
                stated_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                "backend server turned a request away and wants a pause"
            );
            self.metrics.pauses.inc();
            self.dispatcher.close(address, pause);
        }
        if !entry::states_leaving(head) {
            return;
        }
        let departure = fleet::ServerDeparture {
            name: address.server.clone(),
            started_ms: address.incarnation.0,
            stage: fleet::DepartureStage::Draining,
        };
        if self.dispatcher.record_departure(departure.clone()) {
            info!(server:% = address.server; "backend server announced in an answer that it leaves");
            self.metrics.departures.inc();
            if self.departures.try_send(departure).is_err() {
                warn!(server:% = address.server; "departure of a backend server is not recorded: too many wait");
            }
        }
    }

    /// Checks that an answer carries the attempt's id and does not state that the request was
    /// refused.
    ///
    /// # Errors
    ///
    /// The answer carries the id of another request, or states that the request did not run.
    pub(crate) fn check(
        &self,
        exchange: &backend::BackendExchange,
        attempt: &name::RequestId,
    ) -> Result<(), backend::AttemptError> {
        entry::check_exchange(exchange.head(), attempt, exchange.is_reused()).inspect_err(|error| {
            if error.kind == backend::AttemptErrorKind::WrongRequestId {
                self.metrics.crossed.inc();
            }
        })
    }

    /// Records a failed attempt and waits for the backoff delay before the next one.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if there must be no further attempt.
    pub(crate) async fn wait_before_retry<Call: entry::AttemptCall>(
        &self,
        call: &Call,
        charge: &mut Option<rate::TokenCharge>,
        state: &mut entry::AttemptState,
        failed: entry::FailedAttempt,
    ) -> Result<(), api::RequestRefusal> {
        debug!(
            request:% = call.id(),
            server:% = failed.address.server,
            error:% = failed.error;
            "attempt failed"
        );
        state.worst_verdict = state.worst_verdict.max(failed.error.verdict);
        if state.worst_verdict == verdict::RequestVerdict::NotRun
            && let Some(charge) = charge
        {
            charge.not_run();
        }
        if !self.may_resend(call, state, &failed).await {
            return Err(state.worsen(refuse_after_failure(&failed.error)));
        }
        state.avoided_server = Some(failed.address.server);
        let delay = self.policy.next_delay(
            &mut state.backoff,
            failed.error.verdict,
            call.is_idempotent(),
            state.count,
            call.deadline(),
        );
        let Some(delay) = delay else {
            return Err(state.worsen(refuse_after_failure(&failed.error)));
        };
        self.metrics.retries.inc();
        let waited = run_while_wanted(call, tokio::time::sleep(delay)).await;
        waited.map_err(|refusal| state.worsen(refusal))
    }

    /// Records a failure before the answer was complete, and returns whether the call may be sent to
    /// another server.
    async fn may_resend<Call: entry::AttemptCall>(
        &self,
        call: &Call,
        state: &entry::AttemptState,
        failed: &entry::FailedAttempt,
    ) -> bool {
        let progress = match failed.error.kind {
            backend::AttemptErrorKind::Broken | backend::AttemptErrorKind::Cut
                if state.has_begun =>
            {
                crash::AnswerProgress::Begun
            }
            backend::AttemptErrorKind::Broken => crash::AnswerProgress::None,
            backend::AttemptErrorKind::Cut => crash::AnswerProgress::Head,
            _ => return true,
        };
        let broken =
            self.crashes
                .record_break(&failed.address, call.keys(), progress, failed.began_at);
        broken.may_resend().await
    }

    async fn acquire<Call: entry::AttemptCall>(
        &self,
        call: &Call,
        state: &entry::AttemptState,
    ) -> Result<dispatch::ReplicaSlot, entry::AttemptStop> {
        let team = call.identity().team();
        let weight = team
            .and_then(|team| self.limiter.weight(team))
            .unwrap_or(1.0);
        let wanted = call.slot_request(weight, state.avoided_server.clone());
        let acquiring = self.dispatcher.acquire(wanted);
        let slot = run_while_wanted(call, acquiring).await??;
        Ok(slot)
    }
}

/// Runs `work`, during which nothing is sent, until it completes, the caller leaves or its key no
/// longer authorizes the request.
///
/// # Errors
///
/// A refusal with verdict `NotRun`.
async fn run_while_wanted<Call: entry::AttemptCall, Output>(
    call: &Call,
    work: impl future::Future<Output = Output>,
) -> Result<Output, api::RequestRefusal> {
    let not_run = verdict::RequestVerdict::NotRun;
    tokio::select! {
        biased;
        () = call.caller_left() => Err(api::RequestRefusal::not_run(
            api::RefusalKind::CallerLeft,
            "the caller left before the request was sent",
        )),
        output = run_while_authorized(call.guard(), not_run, work) => output,
    }
}

/// Runs `work` until it completes or the caller's key no longer authorizes the request.
///
/// # Errors
///
/// A refusal with `verdict` if the key was withdrawn or can no longer be confirmed.
pub(crate) async fn run_while_authorized<Output>(
    guard: &entry::KeyGuard,
    verdict: verdict::RequestVerdict,
    work: impl future::Future<Output = Output>,
) -> Result<Output, api::RequestRefusal> {
    let mut guard = guard.clone();
    tokio::select! {
        biased;
        output = work => Ok(output),
        kind = guard.revoked() => Err(api::RequestRefusal::new(
            kind,
            verdict,
            "the key no longer authorizes the request",
        )),
    }
}

/// Ends a failed attempt, releasing its slot with the outcome that follows from the error.
pub(crate) fn fail_attempt(
    slot: dispatch::ReplicaSlot,
    error: backend::AttemptError,
) -> entry::AttemptStop {
    let outcome = error.attempt_outcome();
    entry::AttemptStop::Failed(entry::FailedAttempt::new(slot, outcome, error))
}

/// Returns the refusal for the caller after the last failed attempt.
fn refuse_after_failure(error: &backend::AttemptError) -> api::RequestRefusal {
    let kind = match error.kind {
        backend::AttemptErrorKind::Timeout => api::RefusalKind::DeadlineExceeded,
        _ if error.verdict == verdict::RequestVerdict::NotRun => {
            api::RefusalKind::BackendUnavailable
        }
        _ => api::RefusalKind::BackendFailed,
    };
    api::RequestRefusal::new(kind, error.verdict, error.kind.to_string())
        .retry_after(time::Duration::from_secs(1))
}
