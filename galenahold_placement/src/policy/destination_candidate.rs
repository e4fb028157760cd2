//! A backend server that a model or adapter could be loaded on.

use std::time;

use galenahold_domain::{amount, server};

/// A backend server that a model or adapter could be loaded on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationCandidate {
    /// Where the checkpoint lies, seen from it.
    pub tier: server::CheckpointTier,
    /// How long the load should take there.
    pub expected_load: time::Duration,
    /// Memory that would be left.
    pub free_after_load: amount::ByteCount,
    /// Replicas of the same artifact in its data centre.
    pub replicas_in_data_centre: u32,
    /// Requests that run or wait there, as it reported.
    pub active_requests: u32,
}
