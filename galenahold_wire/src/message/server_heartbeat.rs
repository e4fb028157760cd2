//! Says that an announcement still holds.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::server;
use serde::{Deserialize, Serialize};

/// Says that what a backend server announced still holds, apart from its load.
///
/// It stands for the whole announcement at instances that know one since `unchanged_since`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerHeartbeat {
    /// The backend server.
    pub name: name::ServerName,
    /// Its incarnation.
    pub incarnation: amount::IncarnationNumber,
    /// The number of the announcement that the heartbeat stands for.
    pub sequence: u64,
    /// The number of the first announcement that said the same.
    pub unchanged_since: u64,
    /// How long ago the backend server sent it, in milliseconds.
    pub age_ms: u64,
    /// Its load.
    pub load: server::ServerLoad,
}
