//! The addresses of one instance.

use std::net;

use super::port_pool::PortPool;
use crate::testkit_error::TestkitError;

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For backend servers.
    pub backends: net::SocketAddr,
    /// For operators.
    pub operators: net::SocketAddr,
    /// For other instances.
    pub peers: net::SocketAddr,
    /// For the platform: readiness and metrics.
    pub platform: net::SocketAddr,
}

impl InstanceAddresses {
    /// Takes free addresses.
    pub(crate) fn take(pool: &mut PortPool) -> Result<Self, TestkitError> {
        Ok(Self {
            callers: pool.take()?,
            backends: pool.take()?,
            operators: pool.take()?,
            peers: pool.take()?,
            platform: pool.take()?,
        })
    }

    /// Returns them as the settings have them.
    pub(crate) fn settings(&self) -> serde_json::Value {
        serde_json::json!({
            "callers": self.callers,
            "backends": self.backends,
            "operators": self.operators,
            "peers": self.peers,
            "platform": self.platform,
        })
    }
}
