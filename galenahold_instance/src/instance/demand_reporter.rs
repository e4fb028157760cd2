//! Reports demand to the leader.

use std::time;

use galenahold_wire::message;

use crate::dispatch;
use crate::peer;
use crate::task;
use crate::timer;

/// How often demand is reported while there is any.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(200);

/// How soon demand is reported when a request arrives.
const ARRIVAL_DELAY: time::Duration = time::Duration::from_millis(2);

/// How long a report may look for the leader; the next one replaces it.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Reports demand to the leader: soon after a request arrives, and each period while there is any.
#[derive(Debug)]
pub(crate) struct DemandReporter<Desk> {
    dispatcher: dispatch::Dispatcher,
    client: peer::ControlClient<Desk>,
    card: message::InstanceCard,
    sequence: u64,
    silent: bool,
}

impl<Desk: peer::LocalDesk> DemandReporter<Desk> {
    /// Creates a reporter.
    pub(crate) fn new(
        dispatcher: dispatch::Dispatcher,
        client: peer::ControlClient<Desk>,
        card: message::InstanceCard,
    ) -> Self {
        Self {
            dispatcher,
            client,
            card,
            sequence: 0,
            silent: true,
        }
    }

    /// Reports until the group stops.
    pub(crate) fn start(mut self, timer: &timer::TimerService, group: &task::TaskGroup) {
        let mut subscription = timer.subscribe(REPORT_PERIOD);
        let dispatcher = self.dispatcher.clone();
        group.spawn_until_stop(async move {
            loop {
                let arrived = tokio::select! {
                    tick = subscription.tick() => match tick {
                        Some(_) => false,
                        None => return,
                    },
                    () = dispatcher.arrival() => true,
                };
                if arrived {
                    // Requests that come together are told together.
                    tokio::time::sleep(ARRIVAL_DELAY).await;
                }
                self.report(arrived).await;
            }
        });
    }

    async fn report(&mut self, arrived: bool) {
        if arrived && !self.dispatcher.has_unserved() {
            return;
        }
        let now = time::Instant::now();
        let targets = self.dispatcher.take_demand(now);
        if targets.is_empty() && self.silent {
            return;
        }
        self.silent = targets.is_empty();
        self.sequence += 1;
        let report = message::DemandReport {
            card: self.card.clone(),
            sequence: self.sequence,
            full: true,
            targets,
        };
        let call = message::ControlCall::Demand(report);
        // A report that does not get through is replaced by the next.
        let _ = self.client.call(call, now + REPORT_TIMEOUT).await;
    }
}
