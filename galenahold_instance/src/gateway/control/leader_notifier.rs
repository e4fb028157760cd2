//! Detection of leader changes at a control group member.

use std::sync;
use std::time;

use crate::gateway;
use crate::gateway::control;
use crate::task;
use crate::timer;

/// How often the current leader is checked.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(30);

/// Notifies the calls that wait at this member when the leader changes.
pub(crate) struct LeaderNotifier<Dialect> {
    parts: sync::Arc<control::HandlerParts<Dialect>>,
}

impl<Dialect: gateway::FleetDialect> LeaderNotifier<Dialect> {
    pub(crate) fn new(parts: sync::Arc<control::HandlerParts<Dialect>>) -> Self {
        Self { parts }
    }

    /// Starts a task that checks the leader until the task group stops.
    pub(crate) fn start(self, timer: &timer::TimerService, tasks: &task::TaskGroup) {
        let mut subscription = timer.subscribe(CHECK_PERIOD);
        tasks.spawn_until_stop(async move {
            while subscription.tick().await.is_some() {
                let leader = self.parts.member.leader();
                self.parts.leader_changes.send_if_modified(|known| {
                    let changed = *known != leader;
                    *known = leader;
                    changed
                });
            }
        });
    }
}
