//! Records departures of backend servers in the control group.

use std::time;

use galenahold_domain::control;
use galenahold_domain::fleet;
use galenahold_wire::message;
use log::{info, warn};
use tokio::sync as tokio_sync;

use crate::peer;
use crate::registry;
use crate::task;
use crate::timer;

/// The time limit for recording a departure in the control group.
const DEPARTURE_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// How often a departure that a backend server announced in an answer is tried to be recorded. The
/// server also announces it itself.
const MAX_TRIES: u32 = 30;

/// The maximum number of departures that wait to be recorded.
const MAX_WAITING: usize = 256;

/// Records departures of backend servers in the control group, so that they are not lost with this
/// instance.
#[derive(Debug, Clone)]
pub(crate) struct DepartureRecorder<Handler> {
    client: peer::ControlClient<Handler>,
    registry: registry::ServerRegistry,
}

impl<Handler: peer::LocalHandler> DepartureRecorder<Handler> {
    /// Creates a recorder that remembers in `registry` what it recorded.
    pub(crate) fn new(
        client: peer::ControlClient<Handler>,
        registry: registry::ServerRegistry,
    ) -> Self {
        Self { client, registry }
    }

    /// Starts a task that records departures which backend servers announce in answers, and returns the
    /// sender for them.
    pub(crate) fn start(
        self,
        group: &task::TaskGroup,
    ) -> tokio_sync::mpsc::Sender<fleet::ServerDeparture> {
        let (sender, mut departures) = tokio_sync::mpsc::channel(MAX_WAITING);
        group.spawn_until_stop(async move {
            while let Some(departure) = departures.recv().await {
                for _ in 0..MAX_TRIES {
                    if self.record(&departure).await {
                        break;
                    }
                }
            }
        });
        sender
    }

    /// Records a departure in time for the answer to a backend server; returns whether it is recorded.
    pub(crate) async fn record(&self, departure: &fleet::ServerDeparture) -> bool {
        if self.registry.has_committed(departure) {
            return true;
        }
        let call = message::ControlCall::Command(control::ControlCommand::Depart {
            departure: departure.clone(),
            now_ms: timer::epoch_ms(),
        });
        let deadline = time::Instant::now() + DEPARTURE_TIMEOUT;
        let reply = self.client.call(call, deadline).await;
        let recorded = control::ControlOutcome::DepartureRecorded;
        let server = &departure.name;
        let incarnation = departure.started_ms;
        if matches!(&reply, Ok(message::ControlReply::Outcome(outcome)) if *outcome == recorded) {
            info!(server:% = server, incarnation = incarnation; "backend server leaves");
            self.registry.record_committed(departure.clone());
            return true;
        }
        warn!(server:% = server, incarnation = incarnation; "departure of a backend server is not acknowledged: the control group did not record it in time");
        false
    }
}
