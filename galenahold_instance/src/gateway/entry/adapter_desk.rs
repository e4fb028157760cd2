//! Asks the leader for adapters.

use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_wire::message;

use crate::gateway;
use crate::gateway::control;
use crate::peer;

/// How long the leader may take to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// What is added to the expected time of an adapter's load.
const LOAD_MARGIN: time::Duration = time::Duration::from_millis(3);

/// Asks the leader for adapters, which alone gives orders to engines.
#[derive(Debug)]
pub(super) struct AdapterDesk<'a, Dialect> {
    client: &'a peer::ControlClient<control::FleetDesk<Dialect>>,
}

impl<'a, Dialect: gateway::FleetDialect> AdapterDesk<'a, Dialect> {
    /// Creates a desk.
    pub(super) fn new(client: &'a peer::ControlClient<control::FleetDesk<Dialect>>) -> Self {
        Self { client }
    }

    /// Has an adapter loaded and waits until it should be there.
    ///
    /// # Errors
    ///
    /// Why it does not come.
    pub(super) async fn bring(
        &self,
        server: &name::ServerName,
        adapter: &fleet::HeldAdapter,
        patience_until: time::Instant,
    ) -> Result<(), String> {
        let call = message::ControlCall::Fleet(message::FleetCall::Adapter {
            server: server.clone(),
            adapter: adapter.clone(),
        });
        let deadline = patience_until.min(time::Instant::now() + ANSWER_TIMEOUT);
        match self.client.call(call, deadline).await {
            Ok(message::ControlReply::Fleet(message::FleetReply::AdapterComes { ready_in_ms })) => {
                if ready_in_ms > 0 {
                    let rest = time::Duration::from_millis(ready_in_ms) + LOAD_MARGIN;
                    tokio::time::sleep(rest).await;
                }
                Ok(())
            }
            Ok(message::ControlReply::Fleet(message::FleetReply::AdapterRefused { reason })) => {
                Err(reason)
            }
            Ok(other) => Err(format!("the leader answered {other:?}")),
            Err(error) => Err(error.to_string()),
        }
    }
}
