//! The load that other instances put on a backend server.

use std::time;

use galenahold_domain::name;

/// What the calls of all other instances use at a server, and how fast it is.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: name::ServerName,
    /// When this run of the server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Calls of other instances in flight.
    pub running: u32,
    /// Prompt tokens of those calls whose answer has not begun.
    pub unread_tokens: u32,
    /// Expected tokens in the server's memory for those calls.
    pub cache_tokens: u32,
    /// Time for an event relative to the mean of all servers; above one is slower. `None` if unknown.
    pub pace: Option<f64>,
    /// When the leader summed the load up, by this instance's clock.
    pub measured_at: time::Instant,
}
