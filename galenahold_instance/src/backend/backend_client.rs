//! Sends single attempts to backend servers.

use std::time;

use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use log::debug;
use tokio::net;

use crate::backend;
use crate::task;

/// Whether an attempt may use a connection that served others before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// An idle connection, if there is one.
    Any,
    /// An idle connection that served another request just before, if there is one: the longer it was
    /// idle, the likelier the server closes it at this very moment, which leaves the outcome unknown.
    Recent,
    /// Always a new connection: a closed idle one would leave the outcome unknown.
    Never,
}

/// How long a connection may have been idle to count as young.
const MAX_RECENT_IDLE: time::Duration = time::Duration::from_millis(800);

/// How long sent bytes may stay unacknowledged until a connection counts as broken.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Sends single attempts to backend servers. It never sends a request twice.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    pool: backend::ConnectionPool,
    group: task::TaskGroup,
    connect_timeout: time::Duration,
}

impl BackendClient {
    /// Creates a client whose connections belong to `group`.
    pub(crate) fn new(group: task::TaskGroup, connect_timeout: time::Duration) -> Self {
        Self {
            pool: backend::ConnectionPool::default(),
            group,
            connect_timeout,
        }
    }

    /// Drops idle connections that are too old.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }

    /// Opens, or takes from the pool, a connection. No byte of a request is sent by this.
    ///
    /// # Errors
    ///
    /// The backend server could not be connected: not run.
    pub(crate) async fn connect(
        &self,
        address: &backend::BackendAddress,
        reuse: ConnectionReuse,
    ) -> Result<backend::PooledConnection, backend::AttemptError> {
        let max_idle = match reuse {
            ConnectionReuse::Any => Some(time::Duration::MAX),
            ConnectionReuse::Recent => Some(MAX_RECENT_IDLE),
            ConnectionReuse::Never => None,
        };
        if let Some(max_idle) = max_idle
            && let Some(connection) = self.pool.take(address, max_idle).await
        {
            return Ok(connection);
        }
        self.open(address).await
    }

    /// Sends one request over `connection` and waits for the head of its answer until `deadline`.
    ///
    /// # Errors
    ///
    /// The error's verdict says whether the request may have run.
    pub(crate) async fn send(
        &self,
        mut connection: backend::PooledConnection,
        address: &backend::BackendAddress,
        request: Request<Full<bytes::Bytes>>,
        deadline: time::Instant,
    ) -> Result<backend::BackendExchange, backend::AttemptError> {
        // A process that was frozen wakes up late: its caller was told, or gave up, long ago.
        if time::Instant::now() >= deadline {
            return Err(backend::AttemptError::not_run(
                backend::AttemptErrorKind::Timeout,
            ));
        }
        let sending = connection.try_send_request(request);
        let answered = tokio::time::timeout_at(deadline.into(), sending).await;
        let answer = match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(mut error)) => {
                // The library gives back a message of which it wrote nothing.
                return Err(match error.take_message() {
                    Some(_unsent) => {
                        backend::AttemptError::not_run(backend::AttemptErrorKind::Unsent)
                    }
                    None => backend::AttemptError::may_have_run(backend::AttemptErrorKind::Broken),
                });
            }
            Err(_) => {
                return Err(backend::AttemptError::may_have_run(
                    backend::AttemptErrorKind::Timeout,
                ));
            }
        };
        let (head, body) = answer.into_parts();
        Ok(backend::BackendExchange {
            head,
            body,
            connection,
            pool: self.pool.clone(),
            address: address.clone(),
        })
    }

    async fn open(
        &self,
        address: &backend::BackendAddress,
    ) -> Result<backend::PooledConnection, backend::AttemptError> {
        let connecting = net::TcpStream::connect(address.socket);
        let connected = tokio::time::timeout(self.connect_timeout, connecting).await;
        let Ok(Ok(stream)) = connected else {
            return Err(backend::AttemptError::not_run(
                backend::AttemptErrorKind::Connect,
            ));
        };
        if let Err(error) = configure_socket(&stream) {
            // The connection works without these options, only less well.
            debug!(server:% = address.server, error:% = error; "connection options not set");
        }
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) = handshake
            .map_err(|_| backend::AttemptError::not_run(backend::AttemptErrorKind::Connect))?;
        let server = address.server.clone();
        self.group.spawn_until_stop(async move {
            if let Err(error) = connection.await {
                debug!(server:% = server, error:% = error; "connection to backend server ended");
            }
        });
        Ok(sender)
    }
}

/// Sets a connection up so that small requests leave at once and a silent peer shows.
fn configure_socket(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
