//! Demand reports from an entry instance to the leader.

use std::time;

use galenahold_domain::name;
use galenahold_routing::fleet;
use galenahold_wire::message;
use log::debug;

use crate::gateway;
use crate::gateway::control;
use crate::gateway::entry;
use crate::peer;
use crate::task;

/// How often demand is reported when no call waits.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(700);

/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// Maximum time for the leader to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Reports the models and adapters in demand and the use of servers to the leader.
pub(crate) struct DemandReporter<Dialect> {
    instance: name::InstanceName,
    dispatcher: entry::CallDispatcher,
    loads: entry::LoadFollower,
    client: peer::ControlClient<control::FleetHandler<Dialect>>,
}

impl<Dialect: gateway::FleetDialect> DemandReporter<Dialect> {
    pub(crate) fn new(
        instance: name::InstanceName,
        dispatcher: entry::CallDispatcher,
        loads: entry::LoadFollower,
        client: peer::ControlClient<control::FleetHandler<Dialect>>,
    ) -> Self {
        Self {
            instance,
            dispatcher,
            loads,
            client,
        }
    }

    /// Starts a task that reports until the task group stops.
    pub(crate) fn start(self, tasks: &task::TaskGroup) {
        tasks.spawn_until_stop(async move {
            let mut reported_at = time::Instant::now();
            loop {
                tokio::select! {
                    () = tokio::time::sleep(REPORT_PERIOD) => {}
                    () = self.dispatcher.wait_for_demand() => {}
                }
                self.report(reported_at.elapsed()).await;
                reported_at = time::Instant::now();
                tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            }
        });
    }

    async fn report(&self, span: time::Duration) {
        self.loads.update_age();
        let update = self.dispatcher.take_demand();
        let has_models = !update.usages.is_empty() || !update.adapters.is_empty();
        if !has_models && update.servers.is_empty() {
            return;
        }
        let mut waiting_calls = update.waiting_calls;
        let models = update.usages.into_iter().map(|(key, usage)| {
            let calls = waiting_calls.remove(&key).unwrap_or_default();
            let (service, model) = key;
            message::ModelCount {
                service,
                model,
                arrivals: usage.arrivals,
                waiting: usage.waiting,
                running: usage.running,
                waiting_calls: calls.into_iter().map(waiting_call).collect(),
            }
        });
        let adapters = update
            .adapters
            .into_iter()
            .map(|(server, adapter)| message::AdapterUse { server, adapter });
        let demand = message::ModelDemand {
            instance: self.instance.clone(),
            span_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            models: models.collect(),
            adapters: adapters.collect(),
            servers: update.servers.clone(),
        };
        let call = message::ControlCall::Fleet(message::FleetCall::Demand(demand));
        let sent_at = time::Instant::now();
        match self.client.call(call, sent_at + ANSWER_TIMEOUT).await {
            Ok(_) if update.servers.is_empty() => {}
            Ok(_) => self.loads.record_report(&update.servers, sent_at),
            // The next report includes the calls that still wait, so a lost one only delays a load.
            Err(error) => debug!(error:% = error; "cannot report demand to the leader"),
        }
    }
}

fn waiting_call(times: fleet::CallTimes) -> message::WaitingCall {
    let milliseconds = |span: time::Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    message::WaitingCall {
        due_ms: milliseconds(times.due_in),
        leaves_ms: milliseconds(times.leaves_in),
    }
}
