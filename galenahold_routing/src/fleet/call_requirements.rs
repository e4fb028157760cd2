//! What a call needs of a backend server.

use std::time;

use galenahold_domain::name;

use crate::fleet;

/// What a call needs of a backend server.
#[derive(Debug, Clone)]
pub struct CallRequirements {
    /// The service.
    pub service: name::ServiceName,
    /// The model, for a call to an engine.
    pub target: Option<fleet::ModelTarget>,
    /// Its rank among waiting calls; lower goes first.
    pub rank: u32,
    /// Names the prompt parts that it shares with other calls, so that they meet at one engine.
    pub affinity: u64,
    /// When its caller stops waiting for the beginning of an answer.
    pub patience_until: time::Instant,
    /// Servers that were tried before.
    pub tried: Vec<name::ServerName>,
}
