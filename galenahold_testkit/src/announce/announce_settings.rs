//! Where and how often a server announces itself.

use std::net;

use serde::{Deserialize, Serialize};

/// Names a server and the instances it announces itself to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AnnounceSettings {
    /// The server's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The instances' addresses for backend servers; one is picked in turn.
    pub instances: Vec<net::SocketAddr>,
    /// Milliseconds between announcements.
    pub interval_ms: u64,
    /// Milliseconds by which the announced load lags.
    pub load_lag_ms: u64,
}

impl Default for AnnounceSettings {
    fn default() -> Self {
        Self {
            name: "server".to_owned(),
            data_centre: "local".to_owned(),
            instances: Vec::new(),
            interval_ms: 1_000,
            load_lag_ms: 0,
        }
    }
}
