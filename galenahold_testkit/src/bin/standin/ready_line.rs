//! The line that tells a parent where a stand-in listens.

use std::net;

use serde::Serialize;

/// Holds the bound addresses.
#[derive(Debug, Serialize)]
pub(crate) struct ReadyLine {
    address: net::SocketAddr,
    admin: Option<net::SocketAddr>,
}

impl ReadyLine {
    /// Makes the line.
    pub(crate) fn new(address: net::SocketAddr, admin: Option<net::SocketAddr>) -> Self {
        Self { address, admin }
    }

    /// Prints the line as JSON.
    pub(crate) fn print(&self) {
        println!("{}", serde_json::json!(self));
    }
}
