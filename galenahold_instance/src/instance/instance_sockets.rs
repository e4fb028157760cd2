//! Binds the listening sockets of an instance.

use std::net;

use galenahold_settings::ListenSettings;
use snafu::ResultExt;
use tokio::net as tokio_net;

use crate::instance;
use crate::instance::instance_error;

/// The listening sockets of an instance, bound before any of its components runs.
#[derive(Debug)]
pub(crate) struct BoundSockets {
    /// The socket for callers.
    pub(crate) callers: Option<tokio_net::TcpListener>,
    /// The socket for backend servers.
    pub(crate) backends: Option<tokio_net::TcpListener>,
    /// The socket for operators.
    pub(crate) operators: Option<tokio_net::TcpListener>,
    /// The socket for other instances.
    pub(crate) peers: tokio_net::TcpListener,
    /// The socket for the platform: probes and metrics.
    pub(crate) platform: tokio_net::TcpListener,
}

impl BoundSockets {
    /// Binds all sockets of the settings.
    ///
    /// # Errors
    ///
    /// The instance cannot listen on an address; the error names the settings field and the address.
    pub(crate) async fn bind(settings: &ListenSettings) -> Result<Self, instance::InstanceError> {
        Ok(Self {
            callers: bind_optional("listen.callers", settings.callers).await?,
            backends: bind_optional("listen.backends", settings.backends).await?,
            operators: bind_optional("listen.operators", settings.operators).await?,
            peers: bind("listen.peers", settings.peers).await?,
            platform: bind("listen.platform", settings.platform).await?,
        })
    }
}

async fn bind(
    field: &'static str,
    address: net::SocketAddr,
) -> Result<tokio_net::TcpListener, instance::InstanceError> {
    tokio_net::TcpListener::bind(address)
        .await
        .context(instance_error::ListenSnafu { field, address })
}

async fn bind_optional(
    field: &'static str,
    address: Option<net::SocketAddr>,
) -> Result<Option<tokio_net::TcpListener>, instance::InstanceError> {
    match address {
        Some(address) => bind(field, address).await.map(Some),
        None => Ok(None),
    }
}
