//! What is new of a roster.

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// What is new of a roster to one that follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// The mark that the update leads to. Only if it is settled is a server gone that a whole update does
    /// not name.
    pub mark: fleet::RosterCursor,
    /// Whether the records are all that the roster knows, rather than what changed.
    pub whole: bool,
    /// Servers that are new or changed.
    pub records: Vec<fleet::RecordChange>,
    /// Servers that are gone.
    pub gone: Vec<name::ServerName>,
}
