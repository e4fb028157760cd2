//! What a request needs of a replica.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::replica;

/// What a request needs of a replica.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    /// The model, adapter or plain service.
    pub(crate) target: replica::ReplicaTarget,
    /// The team; the empty name on an open route.
    pub(crate) team: name::TeamName,
    /// The team's weight where teams compete.
    pub(crate) weight: f64,
    /// Tokens that the request is expected to take.
    pub(crate) tokens: amount::TokenCount,
    /// Memory that the waiting request takes.
    pub(crate) bytes: amount::ByteCount,
    /// Order within the team; a lower number goes first.
    pub(crate) priority: i32,
    /// Requests that one replica runs at once.
    pub(crate) concurrency: u32,
    /// Hashes of the prompt's prefix blocks.
    pub(crate) prefix: replica::PrefixBlocks,
    /// The backend server of the last attempt, which is avoided if there is another.
    pub(crate) avoided_server: Option<name::ServerName>,
    /// When the request has to be answered.
    pub(crate) deadline: time::Instant,
}
