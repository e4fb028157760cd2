//! The periodic report of a backend server.

use std::net;
use std::time;

use crate::fleet;
use crate::name;

/// A backend server's periodic report of its own state, for a declared service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerNotice {
    /// The name of the server.
    pub name: name::ServerName,
    /// The start time of the server by its own clock, in milliseconds since the Unix epoch; it
    /// distinguishes the starts of one server.
    pub started_ms: u64,
    /// The number of the notice, which grows until the server restarts.
    pub sequence: u64,
    /// The service that the server belongs to.
    pub service: name::ServiceName,
    /// The address at which the server takes requests.
    pub address: net::SocketAddr,
    /// The data centre of the server.
    pub data_centre: name::DataCentreName,
    /// The number of requests that the server processes at once.
    pub slots: u32,
    /// Whether the server takes new requests.
    pub stage: fleet::ServerStage,
    /// The maximum time until the server is removed, if it is to be removed at short notice.
    pub removal_in: Option<time::Duration>,
    /// The models in the server's accelerator memory.
    pub models: Vec<fleet::HeldModel>,
    /// The adapters that the server has loaded or is loading.
    pub adapters: Vec<fleet::HeldAdapter>,
    /// The weights cached at the server.
    pub copies: fleet::WeightCopies,
}

impl ServerNotice {
    /// Returns the departure that the notice announces, if the server drains.
    #[must_use]
    pub fn departure(&self) -> Option<fleet::ServerDeparture> {
        fleet::ServerDeparture::of_stage(&self.name, self.started_ms, self.stage)
    }
}
