//! Takes what comes with the configuration.

use std::future;

use galenahold_domain::fleet;
use galenahold_wire::message;

/// Takes what comes with the configuration: the roster of declared services and the control members.
pub(crate) trait RosterSink: Send + Sync + 'static {
    /// Returns how far the roster was followed; none where it is not wanted.
    fn cursor(&self) -> Option<fleet::RosterCursor>;

    /// Takes what is new of the roster, and how many instances follow it.
    fn take(&self, update: Option<fleet::RosterUpdate>, followers: u32);

    /// Takes the members of the control group, as the leader knows them.
    fn take_members(&self, members: &[message::ControlMember]);

    /// Returns whether news of the roster is wanted at once.
    fn is_urgent(&self) -> bool {
        false
    }

    /// Waits until news of the roster is wanted at once.
    fn wait_until_urgent(&self) -> impl Future<Output = ()> + Send {
        future::pending()
    }
}

/// Wants no roster.
#[derive(Debug)]
pub(crate) struct NoRoster;

impl RosterSink for NoRoster {
    fn cursor(&self) -> Option<fleet::RosterCursor> {
        None
    }

    fn take(&self, _update: Option<fleet::RosterUpdate>, _followers: u32) {}

    fn take_members(&self, _members: &[message::ControlMember]) {}
}
