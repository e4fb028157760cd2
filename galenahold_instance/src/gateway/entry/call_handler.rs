//! Processing of callers' requests.

use std::sync;
use std::time;

use galenahold_domain::crash as domain;
use galenahold_domain::declaration;
use galenahold_routing::crash as crash_keys;
use galenahold_routing::fleet;
use http::{Response, header, request};
use hyper::body;

use crate::api;
use crate::crash;
use crate::gateway;
use crate::gateway::entry;
use crate::gateway::entry::call_answer;
use crate::rate;

/// Minimum of the maximum wait for tokens while the team's rate is exhausted.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Part of the route's objective that a call may wait for tokens: callers without haste bridge a short
/// excess, and most of the objective is left for loading the model and running the call.
const TOKEN_OBJECTIVE_DIVISOR: u32 = 4;

/// Maximum wait for tokens while the leader does not answer; a change of leader takes 2 s.
const LEADER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Retry delay for a request that only reached servers which did not run it.
const NOT_RUN_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Retry delay for a request refused because this instance cannot confirm its configuration.
const STALE_RETRY_DELAY: time::Duration = time::Duration::from_millis(800);

/// The message for a request that its server refused without a confirmation that it did not run.
const UNCONFIRMED_REFUSAL: &str = "unconfirmed_refusal";

/// The message for a request that has no answer at the end of a planned stop.
const STOPPED: &str = "the instance stopped before the request was answered";

/// Serves callers' requests: finds the route, team and server, and forwards the request and the
/// answer.
pub(crate) struct CallHandler<Dialect> {
    pub(super) parts: sync::Arc<entry::EntryParts<Dialect>>,
}

impl<Dialect> Clone for CallHandler<Dialect> {
    fn clone(&self) -> Self {
        Self {
            parts: sync::Arc::clone(&self.parts),
        }
    }
}

impl<Dialect: gateway::FleetDialect> CallHandler<Dialect> {
    pub(crate) fn new(parts: sync::Arc<entry::EntryParts<Dialect>>) -> Self {
        Self { parts }
    }

    /// Serves one request; a request that is still in progress at the end of a planned stop is
    /// answered as it is.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the verdict whether the request may have run.
    pub(super) async fn serve(
        &self,
        head: request::Parts,
        body: body::Incoming,
        log: &mut entry::CallLog,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let last_answers = self.parts.last_answers.clone();
        let answering = Box::pin(self.answer(head, body, log));
        if let Some(answered) = last_answers.run_until_cancelled(answering).await {
            return answered;
        }
        if log.sends == 0 {
            return Err(call_answer::not_run_refusal(STOPPED, NOT_RUN_RETRY_DELAY));
        }
        Err(call_answer::lost_answer_refusal(STOPPED))
    }

    async fn answer(
        &self,
        head: request::Parts,
        body: body::Incoming,
        log: &mut entry::CallLog,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let call = self.route(head, body, log).await?;
        log.rank = call.rank();
        self.check_prompt(&call)?;
        let charge = self.charge(&call, log).await?;
        self.parts.earn_retry(&call.service);
        let mut plan = entry::AttemptPlan::new(&call.route);
        let answered = self.run(call, charge, &mut plan, log).await;
        // Once any attempt may have run, the refusal of a later attempt must not say that the
        // request has not run.
        answered.map_err(|refusal| {
            if plan.may_have_run() {
                return call_answer::withdraw_not_run(refusal);
            }
            refusal
        })
    }

    /// Finds the route and team of a request and reads its body.
    async fn route(
        &self,
        head: request::Parts,
        body: body::Incoming,
        log: &mut entry::CallLog,
    ) -> Result<entry::RoutedCall, api::RequestRefusal> {
        let arrived = time::Instant::now();
        let metadata = self.parts.dialect.read_call(&head);
        log.id = metadata.id.clone().unwrap_or_default();
        if self.parts.gate.pass(arrived, metadata.patience).await {
            log.notes.push("start_wait");
            log.waited += arrived.elapsed();
        }
        let fresh = self.parts.cache.is_fresh();
        let index = self.parts.declarations.index().ok_or_else(stale_refusal)?;
        log.declaration = index.declaration().number;
        log.confirmed_ago = self.parts.cache.age().unwrap_or(time::Duration::MAX);
        let route =
            find_route(&index, &head).ok_or_else(|| require_fresh(fresh, no_route_refusal()))?;
        let route = route.clone();
        log.route = Some(route.name.clone());
        log.objective = route.objective;
        log.event_gap = route.event_gap.unwrap_or_default();
        let team = if route.open || !index.needs_keys() {
            None
        } else if fresh {
            Some(find_team(&index, &metadata)?)
        } else {
            return Err(stale_refusal());
        };
        log.team = team.as_ref().map(|team| team.name.clone());
        log.model = model_label(&metadata);
        let call_timeout = metadata
            .patience
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = arrived + call_timeout;
        let is_returning = metadata
            .patience
            .is_some_and(|patience| self.parts.returns.observe(&route.name, patience));
        if is_returning {
            log.notes.push("returning");
            self.parts.metrics.returning.inc();
        }
        let max_bytes = usize::try_from(index.declaration().limits.body.0).unwrap_or(usize::MAX);
        let reader = api::BodyReader::new(max_bytes, call_timeout)
            .with_buffers(self.parts.body_buffers.clone());
        let body = reader.read(body).await?;
        let service = route.service_at(hash_id(&log.id)).clone();
        let sizes = metadata.sizes;
        let expected_output =
            sizes.map_or(0, |sizes| self.parts.outputs.expected(&route.name, sizes));
        let keys = call_keys(&head, &body, &metadata, team.as_ref());
        Ok(entry::RoutedCall {
            head,
            body,
            metadata,
            keys,
            index,
            route,
            service,
            team,
            is_returning,
            arrived,
            expected_output,
            deadline,
        })
    }

    /// Refuses a call that crashes backend servers.
    fn check_prompt(&self, call: &entry::RoutedCall) -> Result<(), api::RequestRefusal> {
        match self.parts.crashes.check(&call.keys) {
            Some(refusal) => {
                self.parts.metrics.blocked.inc();
                Err(crash::refuse_prompt(&refusal))
            }
            None => Ok(()),
        }
    }

    /// Charges the team's tokens, if the team has a rate limit.
    async fn charge(
        &self,
        call: &entry::RoutedCall,
        log: &mut entry::CallLog,
    ) -> Result<Option<rate::TokenCharge>, api::RequestRefusal> {
        let Some(team) = call.team.as_ref().filter(|team| team.is_limited()) else {
            return Ok(None);
        };
        let tokens = team
            .charge
            .of(call.metadata.sizes.map(|sizes| sizes.total()));
        log.tokens = tokens.0;
        let now = time::Instant::now();
        let wait_deadline = call.wait_deadline();
        let token_timeout = TOKEN_TIMEOUT.max(call.route.objective / TOKEN_OBJECTIVE_DIVISOR);
        let timeout = rate::ChargeTimeout {
            rate_deadline: wait_deadline.min(now + token_timeout),
            control_deadline: wait_deadline.min(now + LEADER_TIMEOUT),
        };
        let demand = rate::TokenDemand {
            team: team.name.clone(),
            tokens,
            rank: call.rank(),
            is_returning: call.is_returning,
        };
        let charged = self.parts.limiter.charge(demand, timeout).await;
        log.token_wait = now.elapsed();
        let charge = charged.inspect_err(|refusal| {
            log.retry_after = refusal.retry_after;
            self.parts.metrics.count_limited(call.route.priority);
        })?;
        Ok(Some(charge))
    }

    /// Sends a call until it is answered or no further attempt is allowed.
    async fn run(
        &self,
        call: entry::RoutedCall,
        mut charge: Option<rate::TokenCharge>,
        plan: &mut entry::AttemptPlan,
        log: &mut entry::CallLog,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        let mut permit: Option<entry::RetryPermit> = None;
        loop {
            self.parts.crashes.delay_suspect(&call.keys).await;
            self.check_prompt(&call)?;
            let mut lease = self.acquire_place(&call, plan, log).await?;
            if let Some(charge) = &mut charge {
                charge.confirm(call.deadline).await?;
            }
            // The call may have been blocked while it waited.
            self.check_prompt(&call)?;
            let head_deadline = plan.answer_deadline(time::Instant::now(), call.deadline);
            lease.set_repeated(plan.was_sent_to(lease.server()));
            plan.record_send(lease.server());
            log.sends = plan.sends();
            if let Some(permit) = &mut permit {
                permit.start_send();
            }
            let end = self
                .parts
                .attempt(&call, &mut lease, head_deadline, None)
                .await;
            match end {
                entry::AttemptEnd::Stream(exchange) => {
                    let relay = entry::StreamRelay::new(
                        sync::Arc::clone(&self.parts),
                        call,
                        plan.clone(),
                        charge,
                        lease,
                        exchange,
                    );
                    return Ok(relay.start());
                }
                entry::AttemptEnd::Complete(answer) => {
                    plan.record_possible_run();
                    permit = (answer.is_failure() && plan.may_repeat())
                        .then(|| self.parts.spend_retry(&call.service))
                        .flatten();
                    if permit.is_none() {
                        return self.complete_answer(answer, log);
                    }
                    log.notes.push("failed_at_server");
                }
                entry::AttemptEnd::Unsent(note) => {
                    // No server received the request, so the resend does not spend the attempt
                    // budget that all instances share.
                    log.notes.push(note);
                    if let Some(permit) = &mut permit {
                        permit.withdraw_send();
                    }
                    if let Some(charge) = &mut charge {
                        charge.not_run();
                    }
                    if !plan.may_resend() {
                        return Err(call_answer::not_run_refusal(note, NOT_RUN_RETRY_DELAY));
                    }
                }
                entry::AttemptEnd::NotRun(note) => {
                    log.notes.push(note);
                    if let Some(charge) = &mut charge {
                        charge.not_run();
                    }
                    permit = plan
                        .may_resend()
                        .then(|| self.parts.spend_retry(&call.service))
                        .flatten();
                    if permit.is_none() {
                        return Err(call_answer::not_run_refusal(note, NOT_RUN_RETRY_DELAY));
                    }
                }
                entry::AttemptEnd::Abandoned(note) => {
                    log.notes.push(note);
                    plan.record_possible_run();
                    return Err(call_answer::lost_answer_refusal(note));
                }
                entry::AttemptEnd::MayHaveRun(note) => {
                    log.notes.push(note);
                    plan.record_possible_run();
                    if time::Instant::now() >= call.deadline {
                        return Err(call_answer::deadline_refusal());
                    }
                    permit = plan
                        .may_repeat()
                        .then(|| self.parts.spend_retry(&call.service))
                        .flatten();
                    if permit.is_none() {
                        return Err(call_answer::lost_answer_refusal(note));
                    }
                }
            }
            if plan.may_have_run() && time::Instant::now() >= call.deadline {
                return Err(call_answer::deadline_refusal());
            }
        }
    }

    /// Acquires a place at a server that holds everything the call needs.
    async fn acquire_place(
        &self,
        call: &entry::RoutedCall,
        plan: &mut entry::AttemptPlan,
        log: &mut entry::CallLog,
    ) -> Result<entry::PlaceLease, api::RequestRefusal> {
        let mut adapter_retries = fleet::AdapterRetries::default();
        let mut is_retry = plan.sends() > 0;
        loop {
            let began = time::Instant::now();
            let tried = plan.tried().iter().chain(adapter_retries.refused());
            let mut requirements = call.requirements(tried.cloned().collect());
            requirements.suspect_place = self.parts.crashes.suspect_place(&call.keys);
            let placed = self.parts.dispatcher.place(requirements, is_retry).await;
            is_retry = true;
            log.waited += began.elapsed();
            let lease = placed.map_err(call_answer::scheduler_refusal)?;
            log.server = Some(lease.server().clone());
            log.basis = Some(lease.basis());
            let Some(adapter) = lease.missing_adapter() else {
                return Ok(lease);
            };
            let client = entry::AdapterClient::new(&self.parts.client);
            let wait_deadline = call.wait_deadline();
            match client
                .request_load(lease.server(), &adapter, wait_deadline)
                .await
            {
                entry::AdapterAnswer::Loaded => {
                    lease.record_adapter(adapter);
                    return Ok(lease);
                }
                entry::AdapterAnswer::Unconfirmed(reason) => {
                    log.notes.push("adapter_unasked");
                    log::debug!(server:% = lease.server(), reason = reason.as_str(); "the leader gave no usable answer to an adapter request");
                    return Ok(lease);
                }
                entry::AdapterAnswer::Refused { reason, retry_in } => {
                    log::info!(
                        request = log.id.as_str(),
                        server:% = lease.server(),
                        adapter:? = adapter,
                        reason = reason.as_str();
                        "the leader refused an adapter request"
                    );
                    let left = wait_deadline.saturating_duration_since(time::Instant::now());
                    match adapter_retries.refuse(lease.server().clone(), retry_in, left) {
                        fleet::AdapterStep::TryOther => log.note_once("no_adapter"),
                        fleet::AdapterStep::Backoff(pause) => {
                            log.note_once("adapter_rest");
                            // Other calls can use the place during the pause.
                            drop(lease);
                            tokio::time::sleep(pause).await;
                            log.waited += pause;
                        }
                        fleet::AdapterStep::GiveUp(retry_in) => {
                            let retry_after = retry_in
                                .unwrap_or(NOT_RUN_RETRY_DELAY)
                                .max(NOT_RUN_RETRY_DELAY);
                            return Err(call_answer::not_run_refusal(&reason, retry_after));
                        }
                    }
                }
            }
        }
    }

    /// Returns a server's answer as it is.
    ///
    /// # Errors
    ///
    /// The status would guarantee the caller that the request did not run, although it may have.
    fn complete_answer(
        &self,
        answer: entry::CompleteAnswer,
        log: &mut entry::CallLog,
    ) -> Result<Response<api::AnswerBody>, api::RequestRefusal> {
        if answer.claims_not_run() {
            log.notes.push(UNCONFIRMED_REFUSAL);
            return Err(call_answer::lost_answer_refusal(UNCONFIRMED_REFUSAL));
        }
        let mut response = Response::new(api::AnswerBody::whole(answer.body));
        *response.status_mut() = answer.head.status;
        *response.headers_mut() = self.parts.dialect.answer_headers(&answer.head.headers);
        Ok(response)
    }
}

fn find_route<'a>(
    index: &'a declaration::DeclarationIndex,
    head: &request::Parts,
) -> Option<&'a declaration::DeclaredRoute> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    index.route(host, head.uri.path())
}

fn find_team(
    index: &declaration::DeclarationIndex,
    metadata: &gateway::CallMetadata,
) -> Result<declaration::DeclaredTeam, api::RequestRefusal> {
    let secret = metadata.secret.as_deref();
    let team = secret.and_then(|secret| index.team(secret));
    team.cloned().ok_or_else(|| {
        api::RequestRefusal::not_run(
            api::RefusalKind::Unauthorized,
            "the request has no valid key",
        )
    })
}

/// Returns the keys by which a request is recognized when it or a part of its prompt comes again.
fn call_keys(
    head: &request::Parts,
    body: &[u8],
    metadata: &gateway::CallMetadata,
    team: Option<&declaration::DeclaredTeam>,
) -> crash_keys::CallKeys {
    let prompt = &metadata.prompt;
    let shared = prompt.split_last().map_or(&[][..], |(_, rest)| rest);
    let parts = shared
        .iter()
        .map(|part| domain::PromptKey::of_part(part.id));
    let host = head.headers.get(header::HOST);
    let target = head.uri.path_and_query();
    let prompt: Vec<_> = prompt
        .iter()
        .flat_map(|part| part.id.to_be_bytes())
        .collect();
    let model = model_label(metadata);
    let content = [
        head.method.as_str().as_bytes(),
        host.map_or(&[][..], |host| host.as_bytes()),
        target.map_or("", |target| target.as_str()).as_bytes(),
        model.as_bytes(),
        &prompt,
        body,
    ];
    let team = team.map_or("", |team| &team.name);
    crash_keys::CallKeys::new(parts.collect(), team, &content)
}

fn model_label(metadata: &gateway::CallMetadata) -> String {
    let Some(target) = &metadata.target else {
        return "-".to_owned();
    };
    match &target.adapter {
        Some(adapter) => format!("{}/{adapter}", target.model),
        None => target.model.to_string(),
    }
}

fn no_route_refusal() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::NotFound,
        "no route matches this host and path",
    )
}

/// Returns the refusal of an instance that may not have the latest configuration.
fn stale_refusal() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::StaleConfiguration,
        "this instance cannot confirm its configuration; retry at another instance",
    )
    .retry_after(STALE_RETRY_DELAY)
}

/// Returns the given refusal if the configuration is confirmed as the latest; otherwise refuses as
/// stale.
fn require_fresh(fresh: bool, refusal: api::RequestRefusal) -> api::RequestRefusal {
    if fresh { refusal } else { stale_refusal() }
}

/// Hashes a call's id to distribute calls evenly over services; a retry with the same id goes to
/// the same service.
fn hash_id(id: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
