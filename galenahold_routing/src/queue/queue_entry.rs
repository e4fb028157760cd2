//! The attributes by which a queue orders and bounds an item.

use std::time;

use galenahold_domain::{amount, name};

/// The attributes of an item that its queue uses.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// The team; empty for requests on a route without teams.
    pub team: name::TeamName,
    /// Tokens that the item is expected to use.
    pub tokens: amount::TokenCount,
    /// Memory that the item occupies while it waits.
    pub bytes: amount::ByteCount,
    /// Priority within the team; a lower number is served first.
    pub priority: i32,
    /// When the item's request has to be answered.
    pub deadline: time::Instant,
}
