//! What instances say to each other when they connect.

use galenahold_domain::name;
use serde::{Deserialize, Serialize};

use crate::message;

/// What the connecting instance says first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HelloRequest {
    /// The cluster that it belongs to.
    pub cluster: String,
    /// Who it is.
    pub card: message::InstanceProfile,
    /// Whom it wants to reach.
    pub to: name::InstanceName,
    /// Whether it unpacks packed messages.
    #[serde(default)]
    pub unpacks: bool,
}

/// What the other instance answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HelloReply {
    /// It is the one that is wanted.
    Welcome {
        /// Who it is.
        card: message::InstanceProfile,
        /// Whether it unpacks packed messages.
        #[serde(default)]
        unpacks: bool,
    },
    /// It belongs to another cluster or has another name: the address was reused.
    Stranger,
}
