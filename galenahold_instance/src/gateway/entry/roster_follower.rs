//! Replica of the leader's roster at an entry instance.

use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_routing::fleet as routing;
use galenahold_wire::message;
use log::info;

use crate::configuration;
use crate::gateway::entry;

/// Follows the leader's roster and passes its updates to the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct RosterFollower {
    view: sync::Arc<sync::Mutex<fleet::RosterView>>,
    dispatcher: entry::CallDispatcher,
    budget: sync::Arc<sync::Mutex<routing::AttemptBudget>>,
    /// Attempts beyond the share of calls that all instances together may make.
    shared_retries: f64,
    /// Time between two notices of a backend server.
    notice_period: time::Duration,
}

impl RosterFollower {
    /// Creates a follower with an empty roster.
    pub(crate) fn new(
        dispatcher: entry::CallDispatcher,
        budget: sync::Arc<sync::Mutex<routing::AttemptBudget>>,
        shared_retries: f64,
        notice_period: time::Duration,
    ) -> Self {
        Self {
            view: sync::Arc::default(),
            dispatcher,
            budget,
            shared_retries,
            notice_period,
        }
    }

    /// Splits the attempts that all instances share evenly among them.
    fn split_retries(&self, followers: u32) {
        if followers > 0 {
            let capacity = self.shared_retries / f64::from(followers);
            let mut budget = self
                .budget
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            budget.set_capacity(capacity.max(1.0));
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, fleet::RosterView> {
        self.view
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl configuration::RosterSink for RosterFollower {
    fn mark(&self) -> Option<fleet::RosterCursor> {
        Some(self.lock().mark())
    }

    fn take(&self, update: Option<fleet::RosterUpdate>, followers: u32) {
        self.split_retries(followers);
        let Some(update) = update else {
            self.dispatcher.apply_roster(Vec::new(), &[], followers);
            return;
        };
        let mut view = self.lock();
        let term = view.mark().term;
        let was_empty = view.records().next().is_none();
        let changed_names = view.take(update);
        let cursor = view.mark();
        if cursor.term != term {
            info!(term = cursor.term, version = cursor.version; "following the roster of a new leader");
            if was_empty && !view.is_settled() {
                self.dispatcher
                    .expect_servers_until(time::Instant::now() + self.notice_period);
            }
        }
        let changed: Vec<_> = changed_names
            .iter()
            .filter_map(|name| view.get(name).cloned())
            .collect();
        let removed: Vec<_> = changed_names
            .into_iter()
            .filter(|name| view.get(name).is_none())
            .collect();
        drop(view);
        self.dispatcher.apply_roster(changed, &removed, followers);
    }

    fn take_members(&self, _members: &[message::ControlMember]) {}

    fn is_in_hurry(&self) -> bool {
        self.dispatcher.has_waiting()
    }

    async fn hurry(&self) {
        self.dispatcher.wait_for_queued_call().await;
    }
}
