//! The message by which a view follows the leader's roster.

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// The changes of a roster since a follower's cursor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// The cursor after the update. A server that a whole update does not contain is gone only if
    /// this cursor is settled.
    #[serde(rename = "mark")]
    pub cursor: fleet::RosterCursor,
    /// Whether the records are those of all servers in the roster, not only the changed ones.
    pub whole: bool,
    /// The servers that are new or changed.
    pub records: Vec<fleet::RecordChange>,
    /// The servers that are gone.
    pub gone: Vec<name::ServerName>,
    /// The departures that are new, or all known ones in a whole update.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<fleet::ServerDeparture>,
}
