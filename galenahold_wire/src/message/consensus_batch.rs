//! Transport of the replicated log's messages.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

/// Messages of the replicated log from one member to another, in order and already encoded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConsensusBatch {
    /// The sending member.
    pub from: name::InstanceName,
    /// The encoded messages.
    pub messages: Vec<Vec<u8>>,
}

/// The reply to a batch of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusReceipt {
    /// Whether the receiver is a member of the control group and passed the batch to its replicated log.
    pub taken: bool,
}
