//! Gossip between instances about backend servers.

use galenahold_domain::name;
use galenahold_domain::server;
use serde::{Deserialize, Serialize};

use crate::message;

/// Announcements, load notices and cache events that one instance forwards to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipBatch {
    /// The profile of the sender.
    pub card: message::InstanceProfile,
    /// Other instances that the sender has recently learned of.
    #[serde(default)]
    pub known: Vec<message::InstanceProfile>,
    /// Announcements whose content, apart from the load, has changed.
    pub announcements: Vec<AgedAnnouncement>,
    /// Heartbeats, in place of announcements whose content has not changed.
    #[serde(default)]
    pub heartbeats: Vec<message::ServerHeartbeat>,
    /// Replicas that the sender's load orders have just loaded.
    #[serde(default)]
    pub notices: Vec<message::ReplicaNotice>,
    /// Cache events of backend servers.
    #[serde(default)]
    pub events: Vec<server::CacheEvent>,
}

/// An announcement with its age, to which each hop adds its delay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgedAnnouncement {
    /// The time since the backend server sent the announcement, in milliseconds.
    pub age_ms: u64,
    /// The announcement.
    pub announcement: server::ServerAnnouncement,
}

/// The reply to a gossip batch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GossipReceipt {
    /// The profile of the receiver.
    pub card: message::InstanceProfile,
    /// Backend servers whose heartbeats refer to announcements that the receiver does not have.
    #[serde(default)]
    pub missing: Vec<name::ServerName>,
}
