//! Heartbeats in place of unchanged announcements.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::server;
use serde::{Deserialize, Serialize};

/// A heartbeat of a backend server whose announcement has not changed, apart from the load.
///
/// Instances that have an announcement numbered `unchanged_since` or later treat the heartbeat as a full announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerHeartbeat {
    /// The backend server's name.
    pub name: name::ServerName,
    /// The backend server's incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The sequence number of the announcement that the heartbeat replaces.
    pub sequence: u64,
    /// The sequence number of the first announcement with the same content.
    pub unchanged_since: u64,
    /// The time since the backend server sent that announcement, in milliseconds.
    pub age_ms: u64,
    /// The backend server's current load.
    pub load: server::ServerLoad,
}
