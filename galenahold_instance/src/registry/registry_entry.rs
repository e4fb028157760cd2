//! What an instance holds of one backend server.

use std::sync;
use std::time;

use galenahold_domain::server;

/// What an instance holds of one backend server: its latest announcement.
#[derive(Debug, Clone)]
pub(crate) struct RegistryEntry {
    /// The announcement; `leaving` stays set for its incarnation once it was.
    pub(crate) announcement: sync::Arc<server::ServerAnnouncement>,
    /// When the backend server sent it, by this instance's monotonic clock.
    pub(crate) sent_at: time::Instant,
    /// The registry's version at which it came.
    pub(crate) version: u64,
    /// Whether the backend server sent it to this very instance.
    pub(crate) direct: bool,
}

impl RegistryEntry {
    /// Returns how long ago the backend server sent the announcement.
    pub(crate) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.sent_at)
    }

    /// Returns whether `announcement` is newer than the one held.
    pub(crate) fn is_older_than(&self, announcement: &server::ServerAnnouncement) -> bool {
        let held = (self.announcement.incarnation, self.announcement.sequence);
        held < (announcement.incarnation, announcement.sequence)
    }
}
