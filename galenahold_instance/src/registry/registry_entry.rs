//! The registry entry of one backend server.

use std::sync;
use std::time;

use galenahold_domain::server;
use galenahold_wire::message;

/// The latest announcement of a backend server, with its age and versions.
#[derive(Debug, Clone)]
pub(crate) struct RegistryEntry {
    /// The announcement. Once `leaving` is set, it stays set for the incarnation.
    pub(crate) announcement: sync::Arc<server::ServerAnnouncement>,
    /// When the backend server sent it, by this instance's monotonic clock.
    pub(crate) sent_at: time::Instant,
    /// The sequence number of the first announcement with the same content apart from the load.
    pub(crate) unchanged_since: u64,
    /// The registry version at which the announcement was recorded.
    pub(crate) version: u64,
    /// The registry version at which content other than the load last changed.
    pub(crate) changed_version: u64,
    /// Whether the backend server sent the announcement to this instance directly.
    pub(crate) direct: bool,
}

impl RegistryEntry {
    /// Returns how long ago the backend server sent the announcement.
    pub(crate) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.sent_at)
    }

    /// Returns the announcement with its age.
    pub(crate) fn aged(&self, now: time::Instant) -> message::AgedAnnouncement {
        message::AgedAnnouncement {
            age_ms: self.age_ms(now),
            announcement: server::ServerAnnouncement::clone(&self.announcement),
        }
    }

    /// Returns the heartbeat that represents the announcement.
    pub(crate) fn heartbeat(&self, now: time::Instant) -> message::ServerHeartbeat {
        message::ServerHeartbeat {
            name: self.announcement.name.clone(),
            incarnation: self.announcement.incarnation,
            sequence: self.announcement.sequence,
            unchanged_since: self.unchanged_since,
            age_ms: self.age_ms(now),
            load: self.announcement.load,
        }
    }

    /// Returns the announcement that a heartbeat represents, if it can be derived from this entry.
    pub(crate) fn renewed_by(
        &self,
        heartbeat: &message::ServerHeartbeat,
    ) -> Option<server::ServerAnnouncement> {
        let held = &self.announcement;
        if held.incarnation != heartbeat.incarnation || held.sequence < heartbeat.unchanged_since {
            return None;
        }
        let mut announcement = server::ServerAnnouncement::clone(held);
        announcement.sequence = heartbeat.sequence;
        announcement.load = heartbeat.load;
        Some(announcement)
    }

    /// Returns whether `announcement` has the same content as this entry, apart from the load.
    pub(crate) fn has_same_content(&self, announcement: &server::ServerAnnouncement) -> bool {
        let held = &*self.announcement;
        held.incarnation == announcement.incarnation
            && held.address == announcement.address
            && held.data_centre == announcement.data_centre
            && held.kind == announcement.kind
            && held.checks_fencing == announcement.checks_fencing
            && held.memory_bytes == announcement.memory_bytes
            && held.loaded == announcement.loaded
            && held.cached == announcement.cached
            && held.leaving == announcement.leaving
            && held.service == announcement.service
    }

    fn age_ms(&self, now: time::Instant) -> u64 {
        u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns whether `announcement` is newer than the one in this entry.
    pub(crate) fn is_older_than(&self, announcement: &server::ServerAnnouncement) -> bool {
        let held = (self.announcement.incarnation, self.announcement.sequence);
        held < (announcement.incarnation, announcement.sequence)
    }
}
