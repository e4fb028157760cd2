//! Adapter requests from an entry instance to the leader.

use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_wire::message;

use crate::gateway;
use crate::gateway::control;
use crate::peer;

/// Maximum time for the leader to answer; it sends at most two orders to the engine.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Added to the expected load time of an adapter.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(3);

/// The outcome of an adapter request.
#[derive(Debug)]
pub(super) enum AdapterAnswer {
    /// The adapter should be loaded now.
    Loaded,
    /// The leader gave no usable answer. The engine may hold the adapter anyway; if not, it refuses
    /// the request.
    Unconfirmed(String),
    /// The adapter will not be loaded.
    Refused {
        /// The reason for the refusal.
        reason: String,
        /// When to ask again; `None` if the adapter will never be loaded there.
        retry_in: Option<time::Duration>,
    },
}

/// Requests adapters from the leader, the only instance that sends orders to engines.
#[derive(Debug)]
pub(super) struct AdapterClient<'a, Dialect> {
    client: &'a peer::ControlClient<control::FleetHandler<Dialect>>,
}

impl<'a, Dialect: gateway::FleetDialect> AdapterClient<'a, Dialect> {
    pub(super) fn new(client: &'a peer::ControlClient<control::FleetHandler<Dialect>>) -> Self {
        Self { client }
    }

    /// Requests the load of an adapter and waits until it should be complete.
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
            Ok(other) => AdapterAnswer::Unconfirmed(format!("unexpected leader answer: {other:?}")),
            Err(error) => AdapterAnswer::Unconfirmed(error.to_string()),
        }
    }
}
