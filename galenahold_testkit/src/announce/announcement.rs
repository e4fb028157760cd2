//! What a backend server says of itself.

use std::net;

use super::{CachedModel, LoadReport, LoadedModel, ServerKind};
use serde::{Deserialize, Serialize};

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
