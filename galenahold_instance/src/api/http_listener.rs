//! Accepts HTTP/1 connections and serves their requests.

use std::convert;
use std::net;
use std::time;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use log::{debug, warn};
use tokio::net as tokio_net;
use tokio_util::sync;

use crate::api;
use crate::task;

/// The delay before accepting again after an error such as too many open files.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// The minimum read buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The bytes that a connection may hold in the kernel beyond what its network takes. The kernel otherwise takes
/// some megabytes for each connection, which count toward the instance's memory and hide slow callers.
const MAX_UNSENT_BYTES: u32 = 64 * 1_024;

/// Accepts connections for an HTTP API and serves them until its task group stops.
#[derive(Debug)]
pub(crate) struct HttpListener<Handler> {
    listener: tokio_net::TcpListener,
    counter: api::ConnectionCounter,
    limits: api::ConnectionLimits,
    handler: Handler,
}

impl<Handler: api::HttpHandler> HttpListener<Handler> {
    /// Creates a listener over a bound socket.
    pub(crate) fn new(
        listener: tokio_net::TcpListener,
        limits: api::ConnectionLimits,
        handler: Handler,
    ) -> Self {
        Self {
            listener,
            counter: api::ConnectionCounter::new(limits),
            limits,
            handler,
        }
    }

    /// Starts serving until the group stops; each connection then closes after its current request.
    pub(crate) fn start(self, group: &task::TaskGroup) {
        let connections = group.clone();
        group.spawn_until_stop(async move {
            loop {
                self.accept(&connections).await;
            }
        });
    }

    async fn accept(&self, group: &task::TaskGroup) {
        match self.listener.accept().await {
            Ok((stream, peer)) => self.serve(stream, peer, group),
            Err(error) => {
                // Running out of file descriptors must not end the accept loop.
                warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn serve(&self, stream: tokio_net::TcpStream, peer: net::SocketAddr, group: &task::TaskGroup) {
        let Some(permit) = self.counter.try_acquire(peer.ip()) else {
            debug!(peer:% = peer; "connection limit reached; closing connection");
            return;
        };
        if let Err(error) = self.configure_socket(&stream) {
            debug!(peer:% = peer, error:% = error; "failed to set socket options; closing connection");
            return;
        }
        let handler = self.handler.clone();
        let connection_builder = self.connection_builder();
        let token = group.token().clone();
        group.spawn(async move {
            let _permit = permit;
            let responder = service::service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, convert::Infallible>(handler.handle(request, peer).await) }
            });
            let connection =
                connection_builder.serve_connection(rt::TokioIo::new(stream), responder);
            if let Err(error) = drive_connection(connection, token).await {
                debug!(peer:% = peer, error:% = error; "connection ended");
            }
        });
    }

    fn configure_socket(&self, stream: &tokio_net::TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
        socket.set_tcp_user_timeout(Some(self.limits.write_timeout))
    }

    fn connection_builder(&self) -> http1::Builder {
        let mut connection_builder = http1::Builder::new();
        connection_builder
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.max_head_bytes.max(MIN_BUFFER_BYTES));
        connection_builder
    }
}

/// Serves a connection until it ends; on cancellation, it closes after the current request.
async fn drive_connection<Io, Service>(
    connection: http1::Connection<Io, Service>,
    token: sync::CancellationToken,
) -> hyper::Result<()>
where
    Io: hyper::rt::Read + hyper::rt::Write + Unpin,
    Service: hyper::service::HttpService<hyper::body::Incoming, ResBody = api::AnswerBody>,
    Service::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => ended,
        () = token.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
