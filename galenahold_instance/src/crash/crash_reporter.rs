//! Exchange of crashes and suspects with the control group.

use std::time;

use galenahold_domain::crash as domain;
use galenahold_wire::message;
use log::warn;
use rand::RngExt;
use tokio::sync as tokio_sync;

use crate::crash;
use crate::peer;
use crate::task;

/// How long an instance tries to report a crash.
const REPORT_LIFETIME: time::Duration = time::Duration::from_mins(1);

/// The time limit of one call to the leader.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The maximum delay of the report that a suspected part is harmless. The first of many instances to
/// report it spares the others the call.
const MAX_DELAY: time::Duration = time::Duration::from_millis(150);

/// How long the list of suspects may take to follow a report, after which the report is repeated.
const LIST_DELAY: time::Duration = time::Duration::from_millis(500);

/// Reports crashes and harmless suspects of one instance to the control group.
#[derive(Debug)]
pub(crate) struct CrashReporter<Handler> {
    monitor: crash::CrashMonitor,
    client: peer::ControlClient<Handler>,
}

impl<Handler: peer::LocalHandler> CrashReporter<Handler> {
    /// Creates a reporter for the crashes that `monitor` detects.
    pub(crate) fn new(monitor: crash::CrashMonitor, client: peer::ControlClient<Handler>) -> Self {
        Self { monitor, client }
    }

    /// Starts the tasks of the reporter, which run until the task group stops.
    pub(crate) fn start(
        self,
        mut reports: tokio_sync::mpsc::Receiver<domain::CrashReport>,
        tasks: &task::TaskGroup,
    ) {
        let monitor = self.monitor.clone();
        tasks.spawn_until_stop(async move { monitor.follow_lists().await });
        let client = self.client.clone();
        tasks.spawn_until_stop(async move {
            while let Some(report) = reports.recv().await {
                send_report(&client, report).await;
            }
        });
        let (monitor, client) = (self.monitor, self.client);
        tasks.spawn_until_stop(async move {
            loop {
                monitor.wait_for_harmless().await;
                while !monitor.harmless().is_empty() {
                    report_harmless(&monitor, &client).await;
                }
            }
        });
    }
}

async fn send_report<Handler: peer::LocalHandler>(
    client: &peer::ControlClient<Handler>,
    report: domain::CrashReport,
) {
    let give_up_at = time::Instant::now() + REPORT_LIFETIME;
    let server = report.server.clone();
    let call = message::ControlCall::Crash(report);
    match client.call(call, give_up_at).await {
        Ok(message::ControlReply::Outcome(_) | message::ControlReply::Taken) => {}
        Ok(reply) => {
            warn!(server:% = server, reply:? = reply; "report of a crash was not accepted");
        }
        Err(error) => {
            warn!(server:% = server, error:% = error; "cannot report a crash to the leader");
        }
    }
}

/// Reports the harmless suspects once, and waits for the list of suspects to follow.
async fn report_harmless<Handler: peer::LocalHandler>(
    monitor: &crash::CrashMonitor,
    client: &peer::ControlClient<Handler>,
) {
    if !monitor.blocks_harmless() {
        let delay = MAX_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(delay).await;
    }
    let keys = monitor.harmless();
    if keys.is_empty() {
        return;
    }
    let call = message::ControlCall::ClearSuspects(keys);
    let deadline = time::Instant::now() + CALL_TIMEOUT;
    // A failed call is repeated as long as the list names the parts.
    let _ = client.call(call, deadline).await;
    // Ends early with the next list.
    let _ = tokio::time::timeout(LIST_DELAY, monitor.wait_for_harmless()).await;
}
