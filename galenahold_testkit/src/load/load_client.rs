//! The connections to one address.

use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::ResultExt;

use crate::host;
use crate::state_lock;
use crate::testkit_error::{ConnectSnafu, ExchangeSnafu, TestkitError};

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Keeps idle connections, and sends no request twice.
#[derive(Debug)]
pub(crate) struct LoadClient {
    address: net::SocketAddr,
    scope: host::TaskScope,
    idle: state_lock::StateLock<Vec<RequestSender>>,
}

/// An answer whose connection goes back to its client at the end.
#[derive(Debug)]
pub(crate) struct ClientAnswer {
    client: sync::Arc<LoadClient>,
    sender: RequestSender,
    /// Status, headers and body.
    pub(crate) answer: http::Response<body::Incoming>,
}

impl LoadClient {
    /// Makes a client without connections, whose tasks belong to `scope`.
    pub(crate) fn new(address: net::SocketAddr, scope: host::TaskScope) -> Self {
        Self {
            address,
            scope,
            idle: state_lock::StateLock::default(),
        }
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        self: &sync::Arc<Self>,
        request: http::Request<Full<Bytes>>,
    ) -> Result<ClientAnswer, TestkitError> {
        let address = self.address;
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let answer = sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { address })?;
        Ok(ClientAnswer {
            client: sync::Arc::clone(self),
            sender,
            answer,
        })
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self) -> Option<RequestSender> {
        let mut idle = self.idle.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<RequestSender, TestkitError> {
        let address = self.address;
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        self.scope.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }
}

impl ClientAnswer {
    /// Gives the connection back once the body was read to its end.
    pub(crate) fn recycle(self) {
        self.client.idle.lock().push(self.sender);
    }
}
