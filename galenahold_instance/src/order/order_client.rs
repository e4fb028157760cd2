//! Starts and ends attempts of orders in the control group's ledger.

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

/// How long an answer waits for the end of its attempt to be recorded.
const FINISH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How long one round of calls goes on by which something is recorded in the background.
const RECORD_ROUND_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Starts and ends attempts of orders in the control group's ledger.
#[derive(Debug, Clone)]
pub(crate) struct OrderClient<Handler> {
    client: peer::ControlClient<Handler>,
    instance: name::InstanceName,
    incarnation: amount::IncarnationNumber,
    next_call: sync::Arc<atomic::AtomicU64>,
    group: task::TaskGroup,
}

/// What the ledger allows for an order.
#[derive(Debug)]
pub(crate) enum OrderPermission {
    /// This instance owns the attempt and may send once.
    Begun(u32),
    /// The order ran; this is its answer.
    Answered(order::OrderAnswer),
}

impl<Handler: peer::LocalHandler> OrderClient<Handler> {
    /// Creates a desk whose recording tasks belong to `group`.
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

    /// Starts an attempt; nothing may be sent before it answers [`OrderPermission::Begun`].
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
            now_ms: epoch_ms(),
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
            // Without the ledger's word nothing is sent, so this attempt has not run.
            Err(peer::CallError::NotDone) => Err(refuse_unrecorded()),
            _ => {
                let client = self.clone();
                let key = key.clone();
                self.group
                    .spawn(async move { client.undo_start(key, command).await });
                Err(refuse_unrecorded())
            }
        }
    }

    /// Ends, as not run, an attempt that may have started without this instance hearing of it.
    ///
    /// The command bears its first call number, so that the ledger answers with the attempt that it began
    /// then, if that is still under way.
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

    /// Records how an attempt ended; goes on in the background where that takes long.
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
            // Whoever waited may have gone on.
            let _ = sender.send(());
        });
        let _ = tokio::time::timeout(FINISH_TIMEOUT, receiver).await;
    }

    async fn record(&self, key: order::OrderKey, attempt: u32, outcome: order::OrderOutcome) {
        let command = control::ControlCommand::FinishOrder {
            key,
            attempt,
            outcome,
            now_ms: epoch_ms(),
        };
        if self.call_until_stop(command).await.is_none() {
            warn!(attempt = attempt; "end of an order could not be recorded; it counts as running");
        }
    }

    /// Calls the leader until it answers, or until a round has failed after the instance began to stop.
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
        "the control group cannot record the order now; send it again under the same key",
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
            "an order under this idempotency key is under way; ask again for its answer",
        )
        .retry_after(time::Duration::from_secs(1))),
        order::OrderStart::Unknown => Err(api::RequestRefusal::new(
            api::RefusalKind::OrderUnknown,
            RequestVerdict::MayHaveRun,
            "the order may have run and its answer is lost; it is not sent again",
        )),
        order::OrderStart::DigestDiffers => Err(api::RequestRefusal::not_run(
            api::RefusalKind::OrderDiffers,
            "the idempotency key was used with another request; this one did not run",
        )),
        order::OrderStart::Expired => Err(api::RequestRefusal::new(
            api::RefusalKind::OrderExpired,
            RequestVerdict::MayHaveRun,
            "the order was sent under this idempotency key; its answer is no longer kept",
        )),
        order::OrderStart::OwnerEnded => Err(api::RequestRefusal::not_run(
            api::RefusalKind::ControlUnavailable,
            "a later start of this instance has taken over; send the order again",
        )),
        order::OrderStart::Full => Err(api::RequestRefusal::not_run(
            api::RefusalKind::OrderLedgerFull,
            "the order ledger is full",
        )),
    }
}

/// Returns the milliseconds since the Unix epoch; the ledger never lets them go back.
fn epoch_ms() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
