//! Announcements that one instance passes on to another.

use galenahold_domain::name;
use galenahold_domain::server;
use serde::{Deserialize, Serialize};

use crate::message;

/// Announcements and cache events that one instance passes on to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipBatch {
    /// Who passes them on.
    pub card: message::InstanceProfile,
    /// Other instances that the sender has heard of lately.
    #[serde(default)]
    pub known: Vec<message::InstanceProfile>,
    /// Announcements that say something new.
    pub announcements: Vec<AgedAnnouncement>,
    /// Announcements that say the same as before.
    #[serde(default)]
    pub heartbeats: Vec<message::ServerHeartbeat>,
    /// Replicas that orders of the sender have just loaded.
    #[serde(default)]
    pub notices: Vec<message::ReplicaNotice>,
    /// The cache events.
    #[serde(default)]
    pub events: Vec<server::CacheEvent>,
}

/// An announcement with its age, which grows hop by hop.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgedAnnouncement {
    /// How long ago the backend server sent it, in milliseconds.
    pub age_ms: u64,
    /// The announcement.
    pub announcement: server::ServerAnnouncement,
}

/// Says that a batch was taken.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipReceipt {
    /// Who took it.
    pub card: message::InstanceProfile,
    /// Backend servers whose heartbeats stand for announcements that it does not know.
    #[serde(default)]
    pub missing: Vec<name::ServerName>,
}
