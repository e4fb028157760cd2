//! The messages from backend servers to instances.

use std::net;

use serde::{Deserialize, Serialize};

/// What kind of backend server announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Where a loaded model stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// It takes requests.
    Ready,
    /// It is being loaded.
    Loading,
    /// It is being unloaded.
    Unloading,
}

/// Where a checkpoint is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheTier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
}

/// A model or adapter that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The base model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// The adapter, for entries of adapters.
    pub adapter: Option<String>,
    /// Memory it takes.
    pub bytes: u64,
    /// The number of the order that loaded it.
    pub order: u64,
    /// Where it stands.
    pub state: ReplicaState,
}

/// A checkpoint that is cached near an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedModel {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Where it is cached.
    pub tier: CacheTier,
}

/// The load of a server, as of some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Prompt and output tokens not yet computed.
    pub outstanding_tokens: u64,
}

/// The body of `POST /v1/backend/announce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The server's name.
    pub name: String,
    /// Changes at every start of the server.
    pub incarnation: u64,
    /// Rises with every announcement of an incarnation.
    pub sequence: u64,
    /// Where the server takes requests and orders.
    pub address: net::SocketAddr,
    /// The server's data centre.
    pub data_centre: String,
    /// What it is.
    pub kind: ServerKind,
    /// The service's name, for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Its memory for models and adapters.
    pub memory_bytes: u64,
    /// What it holds.
    pub loaded: Vec<LoadedModel>,
    /// What is cached near it.
    pub cached: Vec<CachedModel>,
    /// Its load.
    pub load: LoadReport,
    /// Whether it takes no new work soon.
    pub leaving: bool,
}

/// The body of `POST /v1/backend/cache-events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine's name.
    pub name: String,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// Rises by one with every event; a gap means that events are lost.
    pub sequence: u64,
    /// The model whose prefixes are meant.
    pub model: String,
    /// Block hashes that were stored, as 16 hexadecimal digits.
    pub stored: Vec<String>,
    /// Block hashes that were removed.
    pub removed: Vec<String>,
    /// Whether all blocks of the model are gone.
    pub cleared: bool,
}
