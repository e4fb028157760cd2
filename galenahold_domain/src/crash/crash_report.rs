//! An entry instance's report of a crash.

use serde::{Deserialize, Serialize};

use crate::crash;
use crate::name;

/// A crash of a backend server as one entry instance saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server.
    pub server: name::ServerName,
    /// The start of the server that crashed: milliseconds since the Unix epoch, or the incarnation of
    /// a server that numbers its starts.
    pub started_ms: u64,
    /// The calls of this instance that were in progress there.
    pub calls: Vec<crash::SuspectCall>,
}
