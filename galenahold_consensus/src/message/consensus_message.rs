//! Envelope and encoding of all consensus messages.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::log;
use crate::member;
use crate::message;

/// A message between two members, with the sender's state in its header.
///
/// Decoding ignores fields that this version does not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// Version of the message format that the sender uses.
    pub version: u16,
    /// Group of the sender; `None` if it has not joined one.
    pub cluster: Option<member::ClusterId>,
    /// Identity of the sender.
    pub from: member::MemberId,
    /// Name and address of the sender.
    pub from_endpoint: member::MemberEndpoint,
    /// Identity of the receiver; `None` in bootstrap messages.
    pub to: Option<member::MemberId>,
    /// Number of the sender's current start.
    pub boot: u64,
    /// Random number that identifies the sender's process.
    pub incarnation: u64,
    /// Current term of the sender.
    pub term: log::Term,
    /// Last index that is durable on the sender.
    pub durable: log::LogIndex,
    /// Contents of the message.
    pub body: message::MessageBody,
}

impl ConsensusMessage {
    /// Version of the message format that this build sends.
    pub const VERSION: u16 = 1;

    /// Encodes the message with named fields.
    ///
    /// # Panics
    ///
    /// Never in practice: every field can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("every field of a consensus message can be encoded")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message, or a message of a kind that this version does not
    /// know. The caller drops such bytes.
    pub fn decode(encoded: &[u8]) -> Result<Self, message::MessageError> {
        rmp_serde::from_slice(encoded).context(message::message_error::DecodeSnafu {
            length_bytes: encoded.len(),
        })
    }
}
