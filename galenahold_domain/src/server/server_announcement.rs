//! The periodic announcement by which instances discover backend servers.

use std::net;

use serde::{Deserialize, Serialize};

use crate::amount;
use crate::name;
use crate::server;

/// An announcement of a backend server, sent about once a second to any instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// The name of the backend server.
    pub name: name::ServerName,
    /// The incarnation of the backend server, which is new at each start.
    pub incarnation: amount::IncarnationNumber,
    /// The number of the announcement, which grows by one within an incarnation.
    pub sequence: u64,
    /// The address at which the backend server takes requests.
    pub address: net::SocketAddr,
    /// The data centre of the backend server.
    pub data_centre: name::DataCentreName,
    /// Whether the backend server is a model engine or a plain service.
    pub kind: server::ServerKind,
    /// Whether the backend server refuses orders with a fencing number below the highest it has
    /// seen.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The accelerator memory for models and adapters.
    #[serde(default)]
    pub memory_bytes: amount::ByteCount,
    /// The models and adapters in accelerator memory.
    #[serde(default)]
    pub loaded: Vec<server::LoadedReplica>,
    /// The checkpoints that can be loaded without the weight store.
    #[serde(default)]
    pub cached: Vec<server::CachedCheckpoint>,
    /// The load of the backend server, which may be outdated.
    #[serde(default)]
    pub load: server::ServerLoad,
    /// Whether the backend server is leaving and takes no new work; once set, this lasts until it
    /// restarts.
    #[serde(default)]
    pub leaving: bool,
    /// The plain service that the backend server belongs to, if it belongs to one.
    #[serde(default)]
    pub service: Option<name::ServiceName>,
}
