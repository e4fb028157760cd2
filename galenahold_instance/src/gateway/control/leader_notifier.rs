//! Tells of changes of the leader.

use std::sync;
use std::time;

use crate::gateway;
use crate::gateway::control;
use crate::task;
use crate::timer;

/// How often the leader is looked at.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(30);

/// Tells those who wait at this member of changes of the leader.
pub(crate) struct LeaderNotifier<Dialect> {
    parts: sync::Arc<control::HandlerParts<Dialect>>,
}

impl<Dialect: gateway::FleetDialect> LeaderNotifier<Dialect> {
    /// Creates a lookout.
    pub(crate) fn new(parts: sync::Arc<control::HandlerParts<Dialect>>) -> Self {
        Self { parts }
    }

    /// Looks until the tasks stop.
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
