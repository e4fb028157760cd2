//! The part of a server's record that updates send once per start of the server.

use std::net;

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// The fields of a server's record that stay the same until the server restarts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOrigin {
    /// The service that the server belongs to.
    pub service: name::ServiceName,
    /// The address at which the server takes requests.
    pub address: net::SocketAddr,
    /// The data centre of the server.
    pub data_centre: name::DataCentreName,
    /// The number of requests that the server processes at once.
    pub slots: u32,
    /// The adapters that were loaded when the view first received the server; a view learns of
    /// later adapters from its own calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<fleet::HeldAdapter>,
}
