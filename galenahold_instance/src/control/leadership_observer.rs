//! Detects when this instance gains or loses leadership.

use std::sync;
use std::time;

use log::info;

use crate::control as group;
use crate::platform;
use crate::task;
use crate::timer;

/// The interval at which leadership is checked.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Checks periodically whether this instance is the leader, and prepares the handler for each new term.
#[derive(Debug)]
pub(crate) struct LeadershipObserver {
    handler: group::ControlHandler,
    metrics: platform::FleetMetrics,
    term: Option<u64>,
}

impl LeadershipObserver {
    /// Creates an observer.
    pub(crate) fn new(handler: group::ControlHandler, metrics: platform::FleetMetrics) -> Self {
        Self {
            handler,
            metrics,
            term: None,
        }
    }

    /// Starts the checks, which run until the task group stops.
    pub(crate) fn start(
        mut self,
        member: sync::Arc<group::ControlGroup>,
        timer: &timer::TimerService,
        tasks: &task::TaskGroup,
    ) {
        let mut subscription = timer.subscribe(POLL_PERIOD);
        tasks.spawn_until_stop(async move {
            while subscription.tick().await.is_some() {
                self.poll(&member);
            }
        });
    }

    fn poll(&mut self, member: &group::ControlGroup) {
        let suspended = i64::from(member.is_suspended());
        self.metrics.storage_suspended.set(suspended);
        let term = member.leading_term();
        if term == self.term {
            return;
        }
        self.term = term;
        self.metrics.leader.set(i64::from(term.is_some()));
        match term {
            Some(term) => {
                info!(term = term; "leads the control group");
                self.handler.begin_term(term);
            }
            None => info!("leads the control group no longer"),
        }
    }
}
