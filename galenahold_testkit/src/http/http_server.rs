//! The accept loop of an HTTP face.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use snafu::ResultExt;

use super::served_stream::ServedStream;
use super::{ConnectionReset, RequestHandler};
use crate::host;
use crate::testkit_error::{ListenSnafu, TestkitError};

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Listens on one address and serves its handler until the host stops.
#[derive(Debug)]
pub(crate) struct HttpServer {
    listener: net::TcpListener,
    address: net::SocketAddr,
}

impl HttpServer {
    /// Binds `address`; port 0 takes a free one.
    pub(crate) fn bind(address: net::SocketAddr) -> Result<Self, TestkitError> {
        let listener = net::TcpListener::bind(address).context(ListenSnafu { address })?;
        listener
            .set_nonblocking(true)
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Serves `handler` on tasks of `scope`.
    pub(crate) fn serve<H: RequestHandler>(
        self,
        scope: &host::TaskScope,
        handler: sync::Arc<H>,
    ) -> Result<(), TestkitError> {
        let (listener, _) = self.into_listener(scope)?;
        let connections = scope.clone();
        scope.spawn(accept_connections(listener, connections, handler));
        Ok(())
    }

    /// Gives the listener to a runtime, with its address.
    pub(crate) fn into_listener(
        self,
        scope: &host::TaskScope,
    ) -> Result<(tokio::net::TcpListener, net::SocketAddr), TestkitError> {
        let address = self.address;
        let listener = scope
            .enter(|| tokio::net::TcpListener::from_std(self.listener))
            .context(ListenSnafu { address })?;
        Ok((listener, address))
    }
}

/// Accepts connections for as long as the scope lives.
async fn accept_connections<H: RequestHandler>(
    listener: tokio::net::TcpListener,
    scope: host::TaskScope,
    handler: sync::Arc<H>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => scope.spawn(serve_connection(stream, sync::Arc::clone(&handler))),
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve_connection<H: RequestHandler>(stream: tokio::net::TcpStream, handler: sync::Arc<H>) {
    // Without it small chunks wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let reset = sync::Arc::new(atomic::AtomicBool::new(false));
    let stream = ServedStream::new(stream, sync::Arc::clone(&reset));
    let service = service::service_fn(move |request| {
        let handler = sync::Arc::clone(&handler);
        let reset = sync::Arc::clone(&reset);
        async move {
            let answer = handler.handle(request).await;
            if let Err(ConnectionReset) = answer {
                reset.store(true, atomic::Ordering::Relaxed);
            }
            answer
        }
    });
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection ended: {error}");
    }
}
