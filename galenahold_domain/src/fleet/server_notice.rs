//! What a backend server states of itself.

use std::net;
use std::time;

use crate::fleet;
use crate::name;

/// What a backend server of a declared service states of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerNotice {
    /// Its name.
    pub name: name::ServerName,
    /// The Unix millisecond of its start, by its own clock; it tells starts under one name apart.
    pub started_ms: u64,
    /// Grows with each notice of a start.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: name::ServiceName,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: fleet::ServerStage,
    /// How long it stays at most, if it was told to go at short notice.
    pub removal_in: Option<time::Duration>,
    /// The models that it holds.
    pub models: Vec<fleet::HeldModel>,
    /// The adapters that it holds or fetches.
    pub adapters: Vec<fleet::HeldAdapter>,
    /// Where weights lie near it.
    pub copies: fleet::WeightCopies,
}
