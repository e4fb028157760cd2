//! What does not change in one start of a backend server.

use std::net;

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// What does not change in one start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOrigin {
    /// The service that it belongs to.
    pub service: name::ServiceName,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The adapters that it held when it was first heard of; views learn of others from their own calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<fleet::HeldAdapter>,
}
