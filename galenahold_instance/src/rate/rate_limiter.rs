//! Charges requests against the tokens granted to this instance.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_routing::rate;
use galenahold_wire::message;
use tokio::sync as tokio_sync;

use crate::api;
use crate::peer;
use crate::rate as tokens;
use crate::task;

/// The timeout of one call to the leader, including all its attempts.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// How long a stopping instance waits for the control group to take its tokens back.
const RETIRE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The maximum interval between checks for a due call to the leader.
const MAX_CALL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The minimum interval between two calls to the leader, unless a request asks for tokens.
const MIN_CALL_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Charges requests against the tokens granted to this instance and requests more from the leader.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    pool: sync::Arc<sync::Mutex<rate::TokenPool>>,
    wait_limit: tokens::WaitLimit,
    demand_notify: sync::Arc<tokio_sync::Notify>,
    replies: sync::Arc<tokio_sync::watch::Sender<CallCount>>,
}

/// The number of calls to the leader that have ended, and of those that were answered.
#[derive(Debug, Clone, Copy, Default)]
struct CallCount {
    ended: u64,
    answered: u64,
}

impl RateLimiter {
    /// Creates a rate limiter over an empty token pool; at most `max_waiting` requests may wait
    /// for tokens.
    pub(crate) fn new(pool: rate::TokenPool, max_waiting: usize) -> Self {
        Self {
            pool: sync::Arc::new(sync::Mutex::new(pool)),
            wait_limit: tokens::WaitLimit::new(max_waiting),
            demand_notify: sync::Arc::default(),
            replies: sync::Arc::default(),
        }
    }

    /// Replaces the active teams with those of an intent.
    pub(crate) fn set_teams(&self, teams: &[intent::TeamIntent]) {
        self.lock().set_teams(teams, time::Instant::now());
    }

    /// Returns a team's weight in fair queueing.
    pub(crate) fn weight(&self, team: &name::TeamName) -> Option<f64> {
        self.lock().weight(team)
    }

    /// Charges tokens to a team; requests missing ones from the leader and waits for them within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the tokens are not available in time.
    pub(crate) async fn charge(
        &self,
        demand: tokens::TokenDemand,
        timeout: impl Into<tokens::ChargeTimeout>,
    ) -> Result<tokens::TokenCharge, api::RequestRefusal> {
        let timeout = timeout.into();
        let team = &demand.team;
        let mut replies = self.replies.subscribe();
        let before = replies.borrow_and_update().answered;
        let ticket = tokens::WaitingTicket::take(self, team);
        let mut request = rate::ChargeRequest {
            team: team.clone(),
            tokens: demand.tokens,
            ticket: ticket.id(),
            rank: demand.rank,
            is_returning: demand.is_returning,
            waits_until: timeout.until(true),
        };
        let mut permit = None;
        let mut met_recovery = false;
        loop {
            let now = time::Instant::now();
            let outcome = self.lock().charge(&request, now);
            let (retry_after, recovering) = match outcome {
                rate::ChargeOutcome::Charged(receipt) => {
                    return Ok(tokens::TokenCharge::new(self.clone(), demand, receipt));
                }
                rate::ChargeOutcome::MissingTokens {
                    retry_after,
                    recovering,
                    ..
                } => (retry_after, recovering),
                rate::ChargeOutcome::TooLarge { burst } => {
                    return Err(refuse_too_large(demand.tokens, burst));
                }
                rate::ChargeOutcome::UnknownTeam => return Err(refuse_unknown_team(team)),
            };
            let answered = replies.borrow_and_update().answered > before;
            // A request that arrived while a new leader did not know the level stands behind all that did,
            // and would otherwise be refused within its team's limit as soon as the level is known.
            met_recovery |= recovering;
            request.waits_until = timeout.until(!met_recovery);
            let until = timeout.until(answered && !met_recovery);
            let left = until.saturating_duration_since(now);
            let refusal = check_wait(team, answered, retry_after, left).or_else(|| {
                if permit.is_none() {
                    permit = self.wait_limit.try_acquire(team);
                }
                permit.is_none().then(|| refuse_wait_limit(team))
            });
            if let Some(refusal) = refusal {
                return Err(refusal);
            }
            self.demand_notify.notify_one();
            // Only a reply that arrives in time can change the outcome.
            let _ = tokio::time::timeout_at(until.into(), replies.changed()).await;
        }
    }

    /// Returns all tokens that no request holds, and waits briefly until the control group is
    /// informed.
    pub(crate) async fn retire(&self) {
        let mut replies = self.replies.subscribe();
        self.lock().retire();
        self.demand_notify.notify_one();
        // If the control group does not answer, the grants expire by themselves.
        let _ = tokio::time::timeout(RETIRE_TIMEOUT, replies.changed()).await;
    }

    /// Checks, as the last step before a send, that charged tokens have not expired.
    pub(super) fn confirm_charge(&self, receipt: &mut rate::ChargeReceipt) -> bool {
        let valid = self.lock().confirm_charge(receipt, time::Instant::now());
        // The statement of the spent tokens may be due earlier than before.
        self.demand_notify.notify_one();
        valid
    }

    /// Returns a ticket for a request.
    pub(super) fn issue_ticket(&self) -> rate::ChargeTicket {
        self.lock().issue_ticket()
    }

    /// Withdraws the demand of a request that no longer waits.
    pub(super) fn withdraw(&self, team: &name::TeamName, ticket: rate::ChargeTicket) {
        self.lock().withdraw(team, ticket);
        // Tokens that were granted to the request are returned at once.
        self.demand_notify.notify_one();
    }

    /// Settles a charge with the number of tokens that were actually spent.
    pub(super) fn settle(&self, receipt: rate::ChargeReceipt, spent: amount::TokenCount) {
        self.lock().settle(receipt, spent, time::Instant::now());
    }

    /// Starts calling the leader whenever a call for tokens is due, until the group stops.
    pub(crate) fn start<Handler: peer::LocalHandler>(
        &self,
        client: peer::ControlClient<Handler>,
        group: &task::TaskGroup,
    ) {
        let limiter = self.clone();
        group.spawn_until_stop(async move {
            loop {
                limiter.wait_until_due().await;
                limiter.call(&client).await;
            }
        });
    }

    async fn wait_until_due(&self) {
        let now = time::Instant::now();
        let due = self.lock().call_at(now).unwrap_or(now + MAX_CALL_INTERVAL);
        let due = due.clamp(now + MIN_CALL_INTERVAL, now + MAX_CALL_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = self.demand_notify.notified() => {}
        }
    }

    async fn call<Handler: peer::LocalHandler>(&self, client: &peer::ControlClient<Handler>) {
        let Some(call) = self.lock().call(time::Instant::now()) else {
            return;
        };
        let number = call.number;
        let deadline = time::Instant::now() + CALL_TIMEOUT;
        let reply = client
            .call(message::ControlCall::Grant(call), deadline)
            .await;
        let answered = matches!(reply, Ok(message::ControlReply::Grant(_)));
        if let Ok(message::ControlReply::Grant(reply)) = reply {
            self.lock().accept(&reply, time::Instant::now());
        } else {
            self.lock().call_failed(number);
        }
        self.replies.send_modify(|count| {
            count.ended += 1;
            count.answered += u64::from(answered);
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, rate::TokenPool> {
        self.pool
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Refuses a request whose tokens will not be available in time, or whose timeout has passed.
fn check_wait(
    team: &name::TeamName,
    answered: bool,
    retry_after: Option<time::Duration>,
    left: time::Duration,
) -> Option<api::RequestRefusal> {
    let exceeds_deadline = retry_after.is_some_and(|wait| wait > left);
    if answered && (exceeds_deadline || left.is_zero()) {
        return Some(refuse_rate(team, retry_after));
    }
    left.is_zero().then(refuse_control_unavailable)
}

fn refuse_too_large(wanted: amount::TokenCount, burst: amount::TokenCount) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::TooManyTokens,
        format!("the request may need {wanted} tokens, which exceeds the team's burst of {burst}"),
    )
}

fn refuse_unknown_team(team: &name::TeamName) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::Forbidden,
        format!("the team {team} is not in the active configuration"),
    )
}

/// Refuses a request because the control group did not answer, which says nothing about the team's
/// rate.
fn refuse_control_unavailable() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::ControlUnavailable,
        "this instance has no tokens for the team and cannot reach the control group; try another one",
    )
    .retry_after(time::Duration::from_secs(1))
}

fn refuse_wait_limit(team: &name::TeamName) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::QueueFull,
        format!("too many requests of the team {team} are waiting for tokens at this instance"),
    )
    .retry_after(time::Duration::from_secs(1))
}

fn refuse_rate(team: &name::TeamName, retry_after: Option<time::Duration>) -> api::RequestRefusal {
    let refusal = api::RequestRefusal::not_run(
        api::RefusalKind::RateLimited,
        format!("the rate and burst of the team {team} are used up"),
    );
    refusal.retry_after(retry_after.unwrap_or(time::Duration::from_secs(1)))
}
