//! Keeps this instance's tokens and asks the leader for more.

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

/// How long one call to the leader may take, all its attempts together.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// How long a stopping instance waits for its tokens to be taken back.
const FAREWELL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The longest rest of the caller of control while nothing is due.
const MAX_REST: time::Duration = time::Duration::from_millis(200);

/// The shortest rest between two calls.
const MIN_REST: time::Duration = time::Duration::from_millis(2);

/// Keeps this instance's tokens and asks the leader for more.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    pool: sync::Arc<sync::Mutex<rate::TokenPool>>,
    wait_limit: tokens::WaitLimit,
    wanted: sync::Arc<tokio_sync::Notify>,
    replies: sync::Arc<tokio_sync::watch::Sender<CallCount>>,
}

/// How many calls to control have ended, and how many of them were answered.
#[derive(Debug, Clone, Copy, Default)]
struct CallCount {
    ended: u64,
    answered: u64,
}

impl RateLimiter {
    /// Creates a keeper with an empty wallet, for whose tokens `most_waiting` requests may wait.
    pub(crate) fn new(pool: rate::TokenPool, most_waiting: usize) -> Self {
        Self {
            pool: sync::Arc::new(sync::Mutex::new(pool)),
            wait_limit: tokens::WaitLimit::new(most_waiting),
            wanted: sync::Arc::default(),
            replies: sync::Arc::default(),
        }
    }

    /// Puts the teams of an intent in force.
    pub(crate) fn set_teams(&self, teams: &[intent::TeamIntent]) {
        self.lock().set_teams(teams, time::Instant::now());
    }

    /// Returns a team's weight where teams compete.
    pub(crate) fn weight(&self, team: &name::TeamName) -> Option<f64> {
        self.lock().weight(team)
    }

    /// Charges tokens, asking the leader for them where they are missing, as long as `patience` says.
    ///
    /// # Errors
    ///
    /// A refusal, not run, where the team's rate does not give the tokens in time.
    pub(crate) async fn charge(
        &self,
        team: &name::TeamName,
        wanted: amount::TokenCount,
        patience: impl Into<tokens::ChargeTimeout>,
    ) -> Result<tokens::TokenCharge, api::RequestRefusal> {
        let patience = patience.into();
        let mut replies = self.replies.subscribe();
        let before = replies.borrow_and_update().answered;
        let mut place = None;
        loop {
            let now = time::Instant::now();
            let outcome = self.lock().charge(team, wanted, now);
            let (retry_after, recovering) = match outcome {
                rate::ChargeOutcome::Charged(receipt) => {
                    return Ok(tokens::TokenCharge::new(self.clone(), receipt));
                }
                rate::ChargeOutcome::MissingTokens {
                    retry_after,
                    recovering,
                    ..
                } => (retry_after, recovering),
                rate::ChargeOutcome::TooLarge { burst } => {
                    return Err(refuse_too_large(wanted, burst));
                }
                rate::ChargeOutcome::UnknownTeam => return Err(refuse_unknown(team)),
            };
            let answered = replies.borrow_and_update().answered > before;
            let until = patience.until(answered && !recovering);
            let left = until.saturating_duration_since(now);
            let refusal = refuse_wait(team, answered, retry_after, left).or_else(|| {
                if place.is_none() {
                    place = self.wait_limit.enter(team);
                }
                place.is_none().then(|| refuse_crowd(team))
            });
            if let Some(refusal) = refusal {
                // Nobody waits for what was asked for here.
                self.lock().withdraw(team, wanted);
                return Err(refusal);
            }
            self.wanted.notify_one();
            // A reply that comes in time is all that can change the answer.
            let told = tokio::time::timeout_at(until.into(), replies.changed()).await;
            if told.is_err() {
                // The demand still stands; the next turn states it anew.
                self.lock().withdraw(team, wanted);
            }
        }
    }

    /// Gives back all tokens that no request holds, and waits a moment for control to hear of it.
    pub(crate) async fn retire(&self) {
        let mut replies = self.replies.subscribe();
        self.lock().retire();
        self.wanted.notify_one();
        // Where control does not answer, the grants run out by themselves.
        let _ = tokio::time::timeout(FAREWELL_TIMEOUT, replies.changed()).await;
    }

    /// Confirms, as the last step before a send, that charged tokens may still be spent.
    pub(super) fn confirm_charge(&self, receipt: &mut rate::ChargeReceipt) -> bool {
        self.lock().confirm_charge(receipt, time::Instant::now())
    }

    /// Ends a charge with the tokens that were really spent.
    pub(super) fn settle(&self, receipt: rate::ChargeReceipt, spent: amount::TokenCount) {
        self.lock().settle(receipt, spent, time::Instant::now());
    }

    /// Starts to call control whenever the wallet has something to say, until the group stops.
    pub(crate) fn start<Handler: peer::LocalHandler>(
        &self,
        client: peer::ControlClient<Handler>,
        group: &task::TaskGroup,
    ) {
        let limiter = self.clone();
        group.spawn_until_stop(async move {
            loop {
                limiter.rest().await;
                limiter.call(&client).await;
            }
        });
    }

    async fn rest(&self) {
        let now = time::Instant::now();
        let due = self.lock().call_at(now).unwrap_or(now + MAX_REST);
        let due = due.clamp(now + MIN_REST, now + MAX_REST);
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = self.wanted.notified() => {}
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

/// Refuses a request that waits in vain, or whose time to wait is over.
fn refuse_wait(
    team: &name::TeamName,
    answered: bool,
    retry_after: Option<time::Duration>,
    left: time::Duration,
) -> Option<api::RequestRefusal> {
    let hopeless = retry_after.is_some_and(|wait| wait > left);
    if answered && (hopeless || left.is_zero()) {
        return Some(refuse_rate(team, retry_after));
    }
    left.is_zero().then(refuse_unanswered)
}

fn refuse_too_large(wanted: amount::TokenCount, burst: amount::TokenCount) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::TooManyTokens,
        format!("the request may take {wanted} tokens and the team's burst is {burst}"),
    )
}

fn refuse_unknown(team: &name::TeamName) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::Forbidden,
        format!("the team {team} is not in the configuration in force"),
    )
}

/// Says that control did not answer, which is no word on the team's rate.
fn refuse_unanswered() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::ControlUnavailable,
        "this instance has no tokens for the team and cannot reach the control group; try another one",
    )
    .retry_after(time::Duration::from_secs(1))
}

fn refuse_crowd(team: &name::TeamName) -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::QueueFull,
        format!("too many requests of the team {team} wait for tokens here"),
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
