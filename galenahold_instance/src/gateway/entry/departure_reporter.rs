//! Departures that backend servers announce in their answers.

use std::time;

use galenahold_domain::fleet;
use galenahold_wire::message;
use log::{info, warn};
use tokio::sync as tokio_sync;

use crate::gateway;
use crate::gateway::control;
use crate::gateway::entry;
use crate::peer;
use crate::platform;
use crate::task;

/// How long an instance tries to report a departure; the server announces it to others as well.
const REPORT_LIFETIME: time::Duration = time::Duration::from_mins(1);

/// The pause before a report that was not recorded is repeated.
const REPEAT_PAUSE: time::Duration = time::Duration::from_millis(300);

/// The maximum number of departures that wait to be reported.
const MAX_REPORTS: usize = 256;

/// Closes backend servers that leave at this instance, and reports them to the leader.
#[derive(Debug, Clone)]
pub(crate) struct DepartureReporter {
    follower: entry::RosterFollower,
    reports: tokio_sync::mpsc::Sender<fleet::ServerDeparture>,
    metrics: platform::FleetMetrics,
}

impl DepartureReporter {
    /// Creates a reporter and starts the task that calls the leader, which runs until the task group
    /// stops.
    pub(crate) fn start<Dialect: gateway::FleetDialect>(
        follower: entry::RosterFollower,
        client: peer::ControlClient<control::FleetHandler<Dialect>>,
        metrics: platform::FleetMetrics,
        tasks: &task::TaskGroup,
    ) -> Self {
        let (reports, mut receiver) = tokio_sync::mpsc::channel(MAX_REPORTS);
        tasks.spawn_until_stop(async move {
            while let Some(departure) = receiver.recv().await {
                report(&client, departure).await;
            }
        });
        Self {
            follower,
            reports,
            metrics,
        }
    }

    /// Closes a server that announced in an answer that it leaves.
    pub(super) fn close(&self, departure: fleet::ServerDeparture) {
        if !self.follower.close(departure.clone()) {
            return;
        }
        self.metrics.departures.inc();
        info!(server:% = departure.name, started_ms = departure.started_ms; "backend server announced in an answer that it leaves");
        let server = departure.name.clone();
        if self.reports.try_send(departure).is_err() {
            warn!(server:% = server; "departure of a backend server is not reported: too many reports wait");
        }
    }
}

/// Reports a departure until the control group has recorded it.
async fn report<Dialect: gateway::FleetDialect>(
    client: &peer::ControlClient<control::FleetHandler<Dialect>>,
    departure: fleet::ServerDeparture,
) {
    let give_up_at = time::Instant::now() + REPORT_LIFETIME;
    let server = departure.name.clone();
    let call = message::ControlCall::Fleet(message::FleetCall::Departed(departure));
    let recorded = message::FleetReply::Taken;
    while time::Instant::now() < give_up_at {
        let reply = client.call(call.clone(), give_up_at).await;
        if matches!(&reply, Ok(message::ControlReply::Fleet(reply)) if *reply == recorded) {
            return;
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    warn!(server:% = server; "cannot report the departure of a backend server to the leader");
}
