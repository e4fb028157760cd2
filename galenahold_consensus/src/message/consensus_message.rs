//! [`ConsensusMessage`].

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::log;
use crate::member;
use crate::message;

/// A message between two members.
///
/// Fields unknown to this version are skipped when it is decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// Version of the sender's messages.
    pub version: u16,
    /// Group; none while the sender has not joined one.
    pub cluster: Option<member::ClusterId>,
    /// Sender's identity.
    pub from: member::MemberId,
    /// Sender's name and address.
    pub from_endpoint: member::MemberEndpoint,
    /// Receiver's identity; none in messages that find or found a group.
    pub to: Option<member::MemberId>,
    /// Number of the sender's starts.
    pub boot: u64,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Sender's term.
    pub term: log::Term,
    /// Last index that the sender holds durably.
    pub durable: log::LogIndex,
    /// What it says.
    pub body: message::MessageBody,
}

impl ConsensusMessage {
    /// Version of the messages that this build sends.
    pub const VERSION: u16 = 1;

    /// Encodes the message with named fields.
    ///
    /// # Panics
    ///
    /// Never in practice: all parts have a representation in the codec.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("messages have a representation in the codec")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are no message, or one of a kind that this version doesn't know: drop them.
    pub fn decode(encoded: &[u8]) -> Result<Self, message::MessageError> {
        rmp_serde::from_slice(encoded).context(message::message_error::DecodeSnafu {
            length_bytes: encoded.len(),
        })
    }
}
