//! Requirements of a request that waits for a replica.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_routing::replica;

/// The requirements and queue attributes of a request that waits for a replica slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    /// The model, adapter or plain service to run.
    pub(crate) target: replica::ReplicaTarget,
    /// The caller's team; empty on an open route.
    pub(crate) team: name::TeamName,
    /// The team's weight in fair queueing.
    pub(crate) weight: f64,
    /// The number of tokens that the request is expected to use.
    pub(crate) tokens: amount::TokenCount,
    /// The size of the request in memory while it waits.
    pub(crate) bytes: amount::ByteCount,
    /// The priority within the team; lower numbers are served first.
    pub(crate) priority: i32,
    /// The maximum number of concurrent requests of one replica.
    pub(crate) concurrency: u32,
    /// Hashes of the prompt's prefix blocks, for prefix cache affinity.
    pub(crate) prefix: replica::PrefixBlocks,
    /// The backend server of the last attempt, avoided if there is another one.
    pub(crate) avoided_server: Option<name::ServerName>,
    /// The deadline of the answer.
    pub(crate) deadline: time::Instant,
}
