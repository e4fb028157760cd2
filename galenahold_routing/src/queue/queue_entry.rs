//! What a queue has to know of an item.

use std::time;

use galenahold_domain::{amount, name};

/// What a queue has to know of an item.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// The team; the empty name on an open route.
    pub team: name::TeamName,
    /// Tokens that the item is expected to take.
    pub tokens: amount::TokenCount,
    /// Memory that the waiting item takes.
    pub bytes: amount::ByteCount,
    /// Order within the team; a lower number goes first.
    pub priority: i32,
    /// When the item has to be answered.
    pub deadline: time::Instant,
}
