//! The backend server that a call is sent to.

use std::net;

use galenahold_domain::name;

use crate::fleet;

/// The backend server that a call is placed at.
///
/// The call occupies a slot of the server until the scheduler is told that the attempt has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlacement {
    /// Identifies the call until its attempt has ended.
    pub run: fleet::RunKey,
    /// The server.
    pub server: name::ServerName,
    /// When this run of the server started, which identifies the run.
    pub started_ms: u64,
    /// The address at which the server takes requests.
    pub address: net::SocketAddr,
    /// Whether the adapter has to be requested before the call is sent.
    pub needs_adapter: bool,
    /// What the selection of the server was based on.
    pub basis: fleet::ChoiceBasis,
}
