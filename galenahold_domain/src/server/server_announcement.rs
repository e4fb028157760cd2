//! One announcement of a backend server.

use std::net;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;
use crate::server;

/// One announcement of a backend server, sent about once a second to any instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// The backend server's name.
    pub name: name::ServerName,
    /// New at each start of the backend server.
    pub incarnation: amount::IncarnationNumber,
    /// Grows by one with each announcement of an incarnation.
    pub sequence: u64,
    /// Where the backend server takes requests.
    pub address: net::SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: name::DataCentreName,
    /// Whether it is a model engine or a plain service.
    pub kind: server::ServerKind,
    /// Whether it refuses orders with a fencing number below the highest that it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Accelerator memory for models and adapters.
    #[serde(default)]
    pub memory_bytes: amount::ByteCount,
    /// Models and adapters in accelerator memory.
    #[serde(default)]
    pub loaded: Vec<server::LoadedReplica>,
    /// Checkpoints that need no weight store.
    #[serde(default)]
    pub cached: Vec<server::CachedCheckpoint>,
    /// Its load, which lags.
    #[serde(default)]
    pub load: server::ServerLoad,
    /// Whether it leaves and takes no new work; sticky for the incarnation.
    #[serde(default)]
    pub leaving: bool,
    /// The plain service that it belongs to.
    #[serde(default)]
    pub service: Option<name::ServiceName>,
}
