//! The effect of an announcement on the replica table.

use crate::replica;

/// The effect of an announcement on the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChange {
    /// The announcement is not newer than the table's entry and was ignored.
    Stale,
    /// The backend server is new or has restarted.
    Started {
        /// The key of the server's incarnation.
        server: replica::ServerKey,
        /// The key of the earlier incarnation, if the table held one.
        ended: Option<replica::ServerKey>,
    },
    /// The announcement updates a known incarnation.
    Renewed {
        /// The key of the server's incarnation.
        server: replica::ServerKey,
        /// Whether the set of replicas that take requests changed.
        replicas_changed: bool,
    },
}
