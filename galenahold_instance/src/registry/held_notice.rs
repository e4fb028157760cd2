//! A notice of a loaded replica that no announcement has confirmed yet.

use std::time;

use galenahold_domain::server;
use galenahold_wire::message;

use crate::registry;

/// How long a notice is held if no announcement settles it.
const NOTICE_TTL: time::Duration = time::Duration::from_secs(5);

/// A notice of a loaded replica, held until an announcement of the backend server settles it.
#[derive(Debug, Clone)]
pub(crate) struct HeldNotice {
    /// The notice.
    pub(crate) notice: message::ReplicaNotice,
    /// When the order was answered, by this instance's monotonic clock.
    pub(crate) loaded_at: time::Instant,
}

impl HeldNotice {
    /// Returns whether the notice is newer than `entry`, the registry entry of its backend server.
    pub(crate) fn is_current(
        &self,
        entry: Option<&registry::RegistryEntry>,
        now: time::Instant,
    ) -> bool {
        if now.saturating_duration_since(self.loaded_at) > NOTICE_TTL {
            return false;
        }
        let Some(entry) = entry else {
            return true;
        };
        let announcement = &entry.announcement;
        if announcement.incarnation != self.notice.incarnation {
            return announcement.incarnation < self.notice.incarnation;
        }
        // An announcement that was sent before the load ended may arrive after the notice.
        entry.sent_at < self.loaded_at || self.is_shown_loading(announcement)
    }

    /// Adds the replica to an announcement as ready.
    pub(crate) fn apply(&self, announcement: &mut server::ServerAnnouncement) {
        let notice = &self.notice;
        if announcement.incarnation != notice.incarnation {
            return;
        }
        announcement
            .loaded
            .retain(|loaded| !self.is_shown_by(loaded));
        announcement.loaded.push(server::LoadedReplica {
            model: notice.artifact.model.clone(),
            version: notice.artifact.version.clone(),
            adapter: notice.artifact.adapter.clone(),
            bytes: notice.bytes,
            order: notice.order.0,
            state: server::ReplicaState::Ready,
        });
    }

    fn is_shown_loading(&self, announcement: &server::ServerAnnouncement) -> bool {
        announcement.loaded.iter().any(|loaded| {
            self.is_shown_by(loaded)
                && loaded.order == self.notice.order.0
                && loaded.state == server::ReplicaState::Loading
        })
    }

    fn is_shown_by(&self, loaded: &server::LoadedReplica) -> bool {
        let artifact = &self.notice.artifact;
        loaded.model == artifact.model
            && loaded.version == artifact.version
            && loaded.adapter == artifact.adapter
    }
}
