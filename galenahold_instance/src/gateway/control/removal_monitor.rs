//! Detection of this member's removal from the control group.

use std::sync;
use std::time;

use galenahold_domain::fleet;
use galenahold_routing::leader;
use galenahold_wire::message;
use log::warn;

use crate::configuration;
use crate::control as group;

/// How long the leader has to confirm that this member is not in its list of members before the
/// member counts as removed.
const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Detects that this member was removed from the control group while it was partitioned or down.
///
/// A removed data folder never votes again; the member has to rejoin with an empty one.
#[derive(Clone)]
pub(crate) struct RemovalMonitor {
    member: sync::Arc<group::ControlGroup>,
    absence: sync::Arc<sync::Mutex<leader::ListAbsence>>,
}

impl RemovalMonitor {
    pub(crate) fn new(member: sync::Arc<group::ControlGroup>) -> Self {
        Self {
            member,
            absence: sync::Arc::default(),
        }
    }

    /// Returns whether this member was removed from the control group.
    pub(crate) fn is_removed(&self) -> bool {
        self.lock().confirmed_for() >= REMOVAL_TIMEOUT
    }

    fn lock(&self) -> sync::MutexGuard<'_, leader::ListAbsence> {
        self.absence
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl configuration::RosterSink for RemovalMonitor {
    fn cursor(&self) -> Option<fleet::RosterCursor> {
        None
    }

    fn take(&self, _update: Option<fleet::RosterUpdate>, _followers: u32) {
        self.lock().record_confirmation(time::Instant::now());
    }

    fn take_members(&self, members: &[message::ControlMember]) {
        let status = self.member.handle().status();
        let own = status.profile.id.to_string();
        let is_listed =
            status.cluster.is_none() || members.iter().any(|member| member.folder == own);
        if self.lock().record_list(is_listed, time::Instant::now()) {
            warn!(missing = !is_listed; "this member's place in the leader's list of members has changed");
        }
    }
}
