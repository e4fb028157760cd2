//! The handshake of a connection between instances.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// The first message of the connecting instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloRequest {
    /// The sender's cluster.
    pub cluster: String,
    /// The sender's profile.
    pub card: message::InstanceProfile,
    /// The instance that the sender expects at this address.
    pub to: name::InstanceName,
    /// Whether the sender can decompress messages.
    #[serde(default)]
    pub unpacks: bool,
}

/// The reply of the instance that was connected to.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HelloReply {
    /// The answering instance is the expected one.
    Welcome {
        /// The answering instance's profile.
        card: message::InstanceProfile,
        /// Whether the answering instance can decompress messages.
        #[serde(default)]
        unpacks: bool,
    },
    /// The answering instance belongs to another cluster or has another name: the address was reused.
    Stranger,
}
