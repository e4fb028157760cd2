//! Client of the control group's order ledger.

use std::sync;
use std::sync::atomic;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::name;
use galenahold_domain::order;
use galenahold_wire::message;
use log::warn;

use crate::api;
use crate::peer;
use crate::task;
use crate::timer;

/// How long an answer is held back until the outcome of its attempt is recorded.
const FINISH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The timeout of one round of calls that record an outcome in the background.
const RECORD_ROUND_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Records the start and outcome of order attempts in the control group's ledger.
#[derive(Debug, Clone)]
pub(crate) struct OrderClient<Handler> {
    client: peer::ControlClient<Handler>,
    instance: name::InstanceName,
    incarnation: amount::IncarnationNumber,
    next_call: sync::Arc<atomic::AtomicU64>,
    group: task::TaskGroup,
}

/// The ledger's decision on an order that is about to be sent.
#[derive(Debug)]
pub(crate) enum OrderPermission {
    /// This instance owns the attempt with this number and may send it once.
    Begun(u32),
    /// The order has already run; this is its recorded answer.
    Answered(order::OrderAnswer),
}

impl<Handler: peer::LocalHandler> OrderClient<Handler> {
    /// Creates a client whose recording tasks run in `group`.
    pub(crate) fn new(
        client: peer::ControlClient<Handler>,
        profile: &message::InstanceProfile,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            client,
            instance: profile.name.clone(),
            incarnation: profile.incarnation,
            next_call: sync::Arc::default(),
            group,
        }
    }

    /// Starts an attempt; the order may be sent only after this returns [`OrderPermission::Begun`].
    ///
    /// # Errors
    ///
    /// A refusal whose verdict says whether an earlier attempt may have run.
    pub(crate) async fn start(
        &self,
        key: &order::OrderKey,
        digest: &str,
        deadline: time::Instant,
    ) -> Result<OrderPermission, api::RequestRefusal> {
        let command = control::ControlCommand::StartOrder {
            key: key.clone(),
            digest: digest.to_owned(),
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            call: self.next_call.fetch_add(1, atomic::Ordering::Relaxed),
            now_ms: timer::epoch_ms(),
        };
        let call = message::ControlCall::Command(command.clone());
        match self.client.call(call, deadline).await {
            Ok(message::ControlReply::Outcome(control::ControlOutcome::Order(start))) => {
                permission_from_start(start)
            }
            Ok(message::ControlReply::Outcome(control::ControlOutcome::Invalid { reasons })) => {
                Err(api::RequestRefusal::not_run(
                    api::RefusalKind::BadRequest,
                    reasons.join("; "),
                ))
            }
            // An order is never sent without a ledger entry, so this attempt has not run.
            Err(peer::CallError::NotExecuted) => Err(refuse_unrecorded()),
            _ => {
                let client = self.clone();
                let key = key.clone();
                self.group
                    .spawn(async move { client.undo_start(key, command).await });
                Err(refuse_unrecorded())
            }
        }
    }

    /// Records as not run an attempt that the ledger may have started although its reply was lost.
    ///
    /// The command is repeated with its original call number, so that the ledger answers with the
    /// attempt that it started for that call, if the attempt is still running.
    async fn undo_start(&self, key: order::OrderKey, command: control::ControlCommand) {
        let reply = self.call_until_stop(command).await;
        let Some(message::ControlReply::Outcome(control::ControlOutcome::Order(
            order::OrderStart::Begun { attempt },
        ))) = reply
        else {
            return;
        };
        self.record(key, attempt, order::OrderOutcome::NotRun).await;
    }

    /// Records the outcome of an attempt; continues in the background if that takes longer than
    /// `FINISH_TIMEOUT`.
    pub(crate) async fn finish(
        &self,
        key: order::OrderKey,
        attempt: u32,
        outcome: order::OrderOutcome,
    ) {
        let client = self.clone();
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.group.spawn(async move {
            client.record(key, attempt, outcome).await;
            // The receiver is gone if the timeout has passed.
            let _ = sender.send(());
        });
        let _ = tokio::time::timeout(FINISH_TIMEOUT, receiver).await;
    }

    async fn record(&self, key: order::OrderKey, attempt: u32, outcome: order::OrderOutcome) {
        let command = control::ControlCommand::FinishOrder {
            key,
            attempt,
            outcome,
            now_ms: timer::epoch_ms(),
        };
        if self.call_until_stop(command).await.is_none() {
            warn!(attempt = attempt; "failed to record the outcome of an order; it counts as running");
        }
    }

    /// Calls the leader until it answers, or until a round fails after the instance has started to
    /// stop.
    async fn call_until_stop(
        &self,
        command: control::ControlCommand,
    ) -> Option<message::ControlReply> {
        loop {
            let deadline = time::Instant::now() + RECORD_ROUND_TIMEOUT;
            let call = message::ControlCall::Command(command.clone());
            if let Ok(reply) = self.client.call(call, deadline).await {
                return Some(reply);
            }
            if self.group.token().is_cancelled() {
                return None;
            }
        }
    }
}

fn refuse_unrecorded() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::ControlUnavailable,
        "the control group cannot record the order now; retry with the same idempotency key",
    )
}

fn permission_from_start(start: order::OrderStart) -> Result<OrderPermission, api::RequestRefusal> {
    use galenahold_domain::verdict::RequestVerdict;
    match start {
        order::OrderStart::Begun { attempt } => Ok(OrderPermission::Begun(attempt)),
        order::OrderStart::Answered(answer) => Ok(OrderPermission::Answered(answer)),
        order::OrderStart::Running => Err(api::RequestRefusal::new(
            api::RefusalKind::OrderRunning,
            RequestVerdict::MayHaveRun,
            "an order with this idempotency key is still running; retry to get its answer",
        )
        .retry_after(time::Duration::from_secs(1))),
        order::OrderStart::Unknown => Err(api::RequestRefusal::new(
            api::RefusalKind::OrderUnknown,
            RequestVerdict::MayHaveRun,
            "the order may have run, but its answer is lost; it is not sent again",
        )),
        order::OrderStart::DigestDiffers => Err(api::RequestRefusal::not_run(
            api::RefusalKind::OrderDiffers,
            "the idempotency key was already used with a different request; this one did not run",
        )),
        order::OrderStart::Expired => Err(api::RequestRefusal::new(
            api::RefusalKind::OrderExpired,
            RequestVerdict::MayHaveRun,
            "the order was sent with this idempotency key, but its answer is no longer stored",
        )),
        order::OrderStart::OwnerEnded => Err(api::RequestRefusal::not_run(
            api::RefusalKind::ControlUnavailable,
            "a newer incarnation of this instance has taken over; send the order again",
        )),
        order::OrderStart::Full => Err(api::RequestRefusal::not_run(
            api::RefusalKind::OrderLedgerFull,
            "the order ledger is full",
        )),
    }
}
