//! A running weight store with its HTTP face.

use std::net;
use std::sync;

use super::WeightStore;
use super::store_server::StoreServer;
use crate::host;
use crate::http;
use crate::testkit_error::TestkitError;

/// Serves a weight store until it is dropped.
#[derive(Debug)]
pub struct StoreProcess {
    host: host::StandInHost,
    address: net::SocketAddr,
    store: sync::Arc<WeightStore>,
}

impl StoreProcess {
    /// Serves `store` at `listen`.
    ///
    /// # Errors
    ///
    /// Fails when the address or the runtime cannot be had.
    pub fn start(
        store: sync::Arc<WeightStore>,
        listen: net::SocketAddr,
    ) -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("weight-store", 1)?;
        let server = http::HttpServer::bind(listen)?;
        let address = server.address();
        let api = StoreServer::new(sync::Arc::clone(&store));
        server.serve(host.scope(), sync::Arc::new(api))?;
        Ok(Self {
            host,
            address,
            store,
        })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Blocks for as long as the store runs.
    pub fn wait(&self) {
        self.host.wait_cancelled();
    }

    /// Returns the store.
    #[must_use]
    pub fn store(&self) -> &WeightStore {
        &self.store
    }
}
