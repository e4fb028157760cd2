//! Properties of a candidate server for a load.

use std::time;

use galenahold_domain::{amount, server};

/// Backend server on which a model or adapter could be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationCandidate {
    /// The nearest tier in which the server has the checkpoint.
    pub tier: server::CheckpointTier,
    /// Expected duration of the load on this server.
    pub expected_load: time::Duration,
    /// Memory that stays free after the load.
    pub free_after_load: amount::ByteCount,
    /// Replicas of the same artifact in the server's data centre.
    pub replicas_in_data_centre: u32,
    /// Running and queued requests that the server reported.
    pub active_requests: u32,
}
