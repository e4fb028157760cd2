//! The sockets that an instance listens on.

use std::net;

use galenahold_settings::ListenSettings;
use snafu::ResultExt;
use tokio::net as tokio_net;

use crate::instance;
use crate::instance::instance_error;

/// The sockets that an instance listens on, bound before any part of it runs.
#[derive(Debug)]
pub(crate) struct BoundSockets {
    /// For callers.
    pub(crate) callers: Option<tokio_net::TcpListener>,
    /// For backend servers.
    pub(crate) backends: Option<tokio_net::TcpListener>,
    /// For operators.
    pub(crate) operators: Option<tokio_net::TcpListener>,
    /// For other instances.
    pub(crate) peers: tokio_net::TcpListener,
    /// For the platform.
    pub(crate) platform: tokio_net::TcpListener,
}

impl BoundSockets {
    /// Binds all sockets of the settings.
    ///
    /// # Errors
    ///
    /// Names the field and the address that could not be listened on.
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
