//! What the system tells a backend server with a request.

use std::time;

use galenahold_domain::name;

/// What the system tells a backend server with a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// The server that is meant; another one must not run the request.
    pub server: &'a name::ServerName,
    /// The time that is left.
    pub time_left: time::Duration,
    /// The team whose key the caller showed.
    pub team: Option<&'a name::TeamName>,
    /// The rank of the request at an engine; 0 goes first.
    pub urgency: Option<u8>,
    /// The id of the last event that was passed on, for a stream that goes on elsewhere.
    pub resume_after: Option<&'a str>,
}
