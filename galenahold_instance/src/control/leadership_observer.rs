//! Follows whether this instance leads.

use std::sync;
use std::time;

use log::info;

use crate::control as group;
use crate::platform;
use crate::task;
use crate::timer;

/// How often leadership is looked at.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Follows whether this instance leads and begins each leadership.
#[derive(Debug)]
pub(crate) struct LeadershipObserver {
    handler: group::ControlHandler,
    metrics: platform::FleetMetrics,
    term: Option<u64>,
}

impl LeadershipObserver {
    /// Creates a follower of leadership.
    pub(crate) fn new(handler: group::ControlHandler, metrics: platform::FleetMetrics) -> Self {
        Self {
            handler,
            metrics,
            term: None,
        }
    }

    /// Follows until the group of tasks stops.
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
