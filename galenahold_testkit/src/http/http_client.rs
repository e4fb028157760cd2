//! A small asynchronous HTTP client for announcements and store orders.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use snafu::{OptionExt, ResultExt};
use tokio::time as tokio_time;

use crate::testkit_error::{
    BuildRequestSnafu, ConnectSnafu, ExchangeSnafu, TestkitError, TimeoutSnafu,
};

/// Sends one request a connection, and never sends anything twice.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    timeout: time::Duration,
}

impl HttpClient {
    /// Makes a client whose exchanges end within `timeout`.
    pub(crate) fn new(timeout: time::Duration) -> Self {
        Self { timeout }
    }

    /// Posts a JSON text and returns the status.
    pub(crate) async fn post(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<http::StatusCode, TestkitError> {
        let request = http::Request::post(path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .context(BuildRequestSnafu { path })?;
        self.send(address, request).await
    }

    /// Gets a path and returns the status.
    pub(crate) async fn get(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<http::StatusCode, TestkitError> {
        let request = http::Request::get(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::default())
            .context(BuildRequestSnafu { path })?;
        self.send(address, request).await
    }

    async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::StatusCode, TestkitError> {
        tokio_time::timeout(self.timeout, exchange(address, request))
            .await
            .ok()
            .context(TimeoutSnafu { address })?
    }
}

/// Carries out one exchange on its own connection.
async fn exchange(
    address: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
) -> Result<http::StatusCode, TestkitError> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .context(ConnectSnafu { address })?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .context(ExchangeSnafu { address })?;
    let answer = async {
        let answer = sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { address })?;
        let status = answer.status();
        answer
            .into_body()
            .collect()
            .await
            .context(ExchangeSnafu { address })?;
        Ok(status)
    };
    tokio::pin!(answer);
    tokio::pin!(connection);
    tokio::select! {
        answer = &mut answer => return answer,
        ended = &mut connection => ended.context(ExchangeSnafu { address })?,
    }
    answer.await
}
