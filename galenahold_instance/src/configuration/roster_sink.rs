//! The interface through which a watcher delivers the roster and the control members.

use std::future;

use galenahold_domain::fleet;
use galenahold_routing::load;
use galenahold_wire::message;

/// Receives the data that accompanies the configuration: the roster of declared services and the control
/// members.
pub(crate) trait RosterSink: Send + Sync + 'static {
    /// Returns the cursor up to which the roster was received; `None` if the sink does not follow it.
    fn cursor(&self) -> Option<fleet::RosterCursor>;

    /// Receives an update of the roster, and the number of instances that follow it.
    fn take(&self, update: Option<fleet::RosterUpdate>, followers: u32);

    /// Returns the version of the load view; `None` if the sink does not follow loads.
    fn load_version(&self) -> Option<load::LoadVersion> {
        None
    }

    /// Receives an update of the load view.
    fn take_loads(&self, _update: &load::LoadUpdate) {}

    /// Receives the members of the control group as known to the leader.
    fn take_members(&self, members: &[message::ControlMember]);

    /// Returns whether a roster update is needed immediately.
    fn is_urgent(&self) -> bool {
        false
    }

    /// Waits until a roster update is needed immediately.
    fn wait_until_urgent(&self) -> impl Future<Output = ()> + Send {
        future::pending()
    }
}

/// A sink that does not follow the roster.
#[derive(Debug)]
pub(crate) struct NoRoster;

impl RosterSink for NoRoster {
    fn cursor(&self) -> Option<fleet::RosterCursor> {
        None
    }

    fn take(&self, _update: Option<fleet::RosterUpdate>, _followers: u32) {}

    fn take_members(&self, _members: &[message::ControlMember]) {}
}
