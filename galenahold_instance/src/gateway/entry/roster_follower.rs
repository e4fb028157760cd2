//! Replica of the leader's roster at an entry instance.

use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_domain::name;
use galenahold_routing::fleet as routing;
use galenahold_routing::load;
use galenahold_wire::message;
use log::info;

use crate::configuration;
use crate::gateway::entry;

/// Follows the leader's roster and passes its updates to the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct RosterFollower {
    view: sync::Arc<sync::Mutex<fleet::RosterView>>,
    dispatcher: entry::CallDispatcher,
    loads: entry::LoadFollower,
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
        loads: entry::LoadFollower,
        budget: sync::Arc<sync::Mutex<routing::AttemptBudget>>,
        shared_retries: f64,
        notice_period: time::Duration,
    ) -> Self {
        Self {
            view: sync::Arc::default(),
            dispatcher,
            loads,
            budget,
            shared_retries,
            notice_period,
        }
    }

    /// Closes a server that announced in an answer that it leaves; returns whether that is new.
    pub(super) fn close(&self, departure: fleet::ServerDeparture) -> bool {
        let name = departure.name.clone();
        let mut view = self.lock();
        if !view.close(departure) {
            return false;
        }
        let changed: Vec<_> = view.get(&name).cloned().into_iter().collect();
        self.dispatcher.update_servers(changed);
        true
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
    fn cursor(&self) -> Option<fleet::RosterCursor> {
        Some(self.lock().cursor())
    }

    fn take(&self, update: Option<fleet::RosterUpdate>, followers: u32) {
        self.split_retries(followers);
        let Some(update) = update else {
            self.dispatcher.apply_roster(Vec::new(), &[], followers);
            return;
        };
        let mut view = self.lock();
        let term = view.cursor().term;
        let was_empty = view.records().next().is_none();
        let open_before = open_servers(&view);
        let changed_names = view.take(update);
        let cursor = view.cursor();
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
        log_closed(&open_before, &view);
        // The view stays locked, so that a server that is closed meanwhile is not opened again.
        self.dispatcher.apply_roster(changed, &removed, followers);
    }

    fn load_version(&self) -> Option<load::LoadVersion> {
        Some(self.loads.version())
    }

    fn take_loads(&self, update: &load::LoadUpdate) {
        self.loads.take(update);
    }

    fn take_members(&self, _members: &[message::ControlMember]) {}

    fn is_urgent(&self) -> bool {
        self.dispatcher.has_waiting()
    }

    async fn wait_until_urgent(&self) {
        self.dispatcher.wait_for_queued_call().await;
    }
}

fn open_servers(view: &fleet::RosterView) -> Vec<name::ServerName> {
    let open = view.records().filter(|record| record.is_open());
    open.map(|record| record.name.clone()).collect()
}

/// Logs the servers that were open before an update and take no new requests after it.
fn log_closed(open_before: &[name::ServerName], view: &fleet::RosterView) {
    let cursor = view.cursor();
    for name in open_before {
        let record = view.get(name);
        if record.is_none_or(|record| !record.is_open()) {
            info!(
                server:% = name,
                draining = record.is_some(),
                term = cursor.term,
                version = cursor.version;
                "backend server gets no new requests"
            );
        }
    }
}
