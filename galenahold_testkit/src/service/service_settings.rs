//! What a plain service stand-in is like.

use std::net;

use serde::{Deserialize, Serialize};

use crate::announce;

/// Sets name, addresses and pace of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceSettings {
    /// Its name as a server, and where it announces itself.
    pub announce: announce::AnnounceSettings,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes calls.
    pub listen: net::SocketAddr,
    /// Where ledger and controls are.
    pub admin: net::SocketAddr,
    /// Microseconds that each call takes.
    pub call_us: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            announce: announce::AnnounceSettings::default(),
            service: "service".to_owned(),
            listen: any_port,
            admin: any_port,
            call_us: 1_000,
        }
    }
}
