//! Messages of the replicated log.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// Messages of the replicated log from one member to another, in order, encoded by the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConsensusBatch {
    /// The sender.
    pub from: name::InstanceName,
    /// The encoded messages.
    pub messages: Vec<Vec<u8>>,
}

/// Says that a batch was handed to the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusReceipt {
    /// Whether this instance holds a replicated log.
    pub taken: bool,
}
