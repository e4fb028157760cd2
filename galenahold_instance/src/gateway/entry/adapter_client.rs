//! Asks the leader for adapters.

use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_wire::message;

use crate::gateway;
use crate::gateway::control;
use crate::peer;

/// How long the leader may take to answer: it sends at most two orders to the engine.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// What is added to the expected time of an adapter's load.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(3);

/// What came of asking for an adapter.
#[derive(Debug)]
pub(super) enum AdapterAnswer {
    /// It is there.
    Loaded,
    /// The leader could not be asked: the engine may hold the adapter all the same, and refuses the
    /// request otherwise.
    Unconfirmed(String),
    /// It does not come.
    Refused {
        /// Why.
        reason: String,
        /// When it is expected to come; none where it never will.
        retry_in: Option<time::Duration>,
    },
}

/// Asks the leader for adapters, which alone gives orders to engines.
#[derive(Debug)]
pub(super) struct AdapterClient<'a, Dialect> {
    client: &'a peer::ControlClient<control::FleetHandler<Dialect>>,
}

impl<'a, Dialect: gateway::FleetDialect> AdapterClient<'a, Dialect> {
    /// Creates a desk.
    pub(super) fn new(client: &'a peer::ControlClient<control::FleetHandler<Dialect>>) -> Self {
        Self { client }
    }

    /// Has an adapter loaded and waits until it should be there.
    pub(super) async fn request_load(
        &self,
        server: &name::ServerName,
        adapter: &fleet::HeldAdapter,
        wait_deadline: time::Instant,
    ) -> AdapterAnswer {
        let call = message::ControlCall::Fleet(message::FleetCall::Adapter {
            server: server.clone(),
            adapter: adapter.clone(),
        });
        let deadline = wait_deadline.min(time::Instant::now() + ANSWER_TIMEOUT);
        match self.client.call(call, deadline).await {
            Ok(message::ControlReply::Fleet(message::FleetReply::AdapterComes { ready_in_ms })) => {
                if ready_in_ms > 0 {
                    let wait = time::Duration::from_millis(ready_in_ms) + LOAD_MARGIN;
                    tokio::time::sleep(wait).await;
                }
                AdapterAnswer::Loaded
            }
            Ok(message::ControlReply::Fleet(message::FleetReply::AdapterRefused {
                reason,
                retry_in_ms,
            })) => AdapterAnswer::Refused {
                reason,
                retry_in: retry_in_ms.map(time::Duration::from_millis),
            },
            Ok(other) => AdapterAnswer::Unconfirmed(format!("the leader answered {other:?}")),
            Err(error) => AdapterAnswer::Unconfirmed(error.to_string()),
        }
    }
}
