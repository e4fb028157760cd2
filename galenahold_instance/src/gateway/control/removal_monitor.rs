//! Detection of this member's removal from the control group.

use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_wire::message;
use log::warn;

use crate::configuration;
use crate::control as group;

/// How long this member has to be missing from the leader's list of members before it counts as
/// removed.
const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Detects that this member was removed from the control group while it was partitioned or down.
///
/// A removed data folder never votes again; the member has to rejoin with an empty one.
#[derive(Clone)]
pub(crate) struct RemovalMonitor {
    member: sync::Arc<group::ControlGroup>,
    missing_since: sync::Arc<sync::Mutex<Option<time::Instant>>>,
}

impl RemovalMonitor {
    pub(crate) fn new(member: sync::Arc<group::ControlGroup>) -> Self {
        Self {
            member,
            missing_since: sync::Arc::default(),
        }
    }

    /// Returns whether this member was removed from the control group.
    pub(crate) fn is_removed(&self) -> bool {
        self.lock()
            .is_some_and(|since| since.elapsed() >= REMOVAL_TIMEOUT)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.missing_since
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl configuration::RosterSink for RemovalMonitor {
    fn cursor(&self) -> Option<fleet::RosterCursor> {
        None
    }

    fn take(&self, _update: Option<fleet::RosterUpdate>, _followers: u32) {}

    fn take_members(&self, members: &[message::ControlMember]) {
        let status = self.member.handle().status();
        let own = status.profile.id.to_string();
        let missing = status.cluster.is_some() && members.iter().all(|member| member.folder != own);
        let mut since = self.lock();
        if missing != since.is_some() {
            warn!(missing = missing; "this member's place in the leader's list of members has changed");
        }
        if missing {
            since.get_or_insert_with(time::Instant::now);
        } else {
            *since = None;
        }
    }
}
