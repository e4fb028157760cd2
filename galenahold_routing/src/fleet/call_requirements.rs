//! The conditions that a call sets for its backend server.

use std::time;

use galenahold_domain::name;

use crate::fleet;
use crate::load;

/// What a call needs from a backend server, and how long it may wait for one.
#[derive(Debug, Clone)]
pub struct CallRequirements {
    /// The service.
    pub service: name::ServiceName,
    /// The model and adapter; absent for a call to a service without engines.
    pub target: Option<fleet::ModelTarget>,
    /// The rank among waiting calls; lower ranks are placed first.
    pub rank: u32,
    /// Identifies the prompt prefix that the call shares with others, so that they are placed at one engine.
    pub affinity: u64,
    /// The place of a call among those that may crash servers: calls with different places go to different
    /// servers as far as there are enough, whatever prefixes they share.
    pub suspect_place: Option<usize>,
    /// The expected work at the server.
    pub work: load::CallWork,
    /// When the answer should have begun for the call to be on time.
    pub due_at: time::Instant,
    /// When the answer has to be complete.
    pub deadline: time::Instant,
    /// When the caller stops waiting for the first byte of an answer.
    pub wait_deadline: time::Instant,
    /// A uniformly distributed random number, which decides among servers that are about as good.
    pub draw: u64,
    /// Servers that earlier attempts of the call used.
    pub tried: Vec<name::ServerName>,
}
