//! Metadata sent to a backend server with a request.

use std::time;

use galenahold_domain::name;

/// Metadata that the gateway sends to a backend server with each attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// The intended server; any other server must refuse the request.
    pub server: &'a name::ServerName,
    /// The time left until the request's deadline.
    pub time_left: time::Duration,
    /// The team whose key the caller sent.
    pub team: Option<&'a name::TeamName>,
    /// The rank of the request at an engine; 0 goes first.
    pub urgency: Option<u8>,
    /// The id of the last event that the caller received, if a stream resumes at another server.
    pub resume_after: Option<&'a str>,
}
