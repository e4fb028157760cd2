//! What an announcement changed.

use crate::replica;

/// What an announcement changed in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChange {
    /// It is older than what the table holds, or as old.
    Stale,
    /// The backend server was not known, or it started anew.
    Started {
        /// Its key.
        server: replica::ServerKey,
        /// The key of the incarnation that ended, if one was in the table.
        ended: Option<replica::ServerKey>,
    },
    /// It renews or alters a known incarnation.
    Renewed {
        /// Its key.
        server: replica::ServerKey,
        /// Whether the set of replicas that take requests is another one.
        replicas_changed: bool,
    },
}
