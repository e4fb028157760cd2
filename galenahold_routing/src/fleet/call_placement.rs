//! Where a call goes.

use std::net;

use galenahold_domain::name;

/// Where a call goes. Its place at the server is taken until the board is told how the attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPlacement {
    /// The server.
    pub server: name::ServerName,
    /// Which of its starts.
    pub started_ms: u64,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Whether the adapter has to be asked for before the call is sent.
    pub needs_adapter: bool,
}
