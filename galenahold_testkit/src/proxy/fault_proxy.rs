//! The owner of links.

use std::net;

use super::FaultLink;
use crate::host;
use crate::testkit_error::TestkitError;

/// Threads that serve all links.
const PROXY_THREADS: usize = 2;

/// Runs links until it is dropped.
#[derive(Debug)]
pub struct FaultProxy {
    host: host::StandInHost,
}

impl FaultProxy {
    /// Starts a proxy without links.
    ///
    /// # Errors
    ///
    /// Fails when the runtime cannot be had.
    pub fn start() -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("fault-proxy", PROXY_THREADS)?;
        Ok(Self { host })
    }

    /// Opens a link to `target` at a free address.
    ///
    /// # Errors
    ///
    /// Fails when no address can be had.
    pub fn link(&self, target: net::SocketAddr) -> Result<FaultLink, TestkitError> {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        self.link_at(any_port, target)
    }

    /// Opens a link to `target` at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be had.
    pub fn link_at(
        &self,
        address: net::SocketAddr,
        target: net::SocketAddr,
    ) -> Result<FaultLink, TestkitError> {
        FaultLink::open(self.host.scope(), address, target)
    }
}
