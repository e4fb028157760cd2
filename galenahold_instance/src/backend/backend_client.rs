//! HTTP client for backend servers.

use std::time;

use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use log::debug;
use tokio::net;

use crate::backend;
use crate::buffer;
use crate::task;

/// Whether an attempt may reuse a connection that served earlier requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Reuses any idle connection, if there is one.
    Any,
    /// Reuses only a connection that became idle recently: the longer a connection is idle, the
    /// likelier the server closes it while the request is sent, which leaves the outcome unknown.
    Recent,
    /// Always opens a new connection: an idle one that the server closes would leave the outcome
    /// unknown.
    Never,
}

/// The maximum idle time of a connection for [`ConnectionReuse::Recent`].
const MAX_RECENT_IDLE: time::Duration = time::Duration::from_millis(800);

/// The maximum time that sent bytes may remain unacknowledged before the connection counts as lost.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The maximum size of a connection's read buffer, and so of an answer's head, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Sends single attempts to backend servers over pooled connections; it never sends a request twice.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    pool: backend::ConnectionPool,
    group: task::TaskGroup,
    connect_timeout: time::Duration,
    buffers: buffer::BufferBudget,
}

impl BackendClient {
    /// Creates a client whose connection tasks run in `group`, and whose answers hold up to
    /// `buffer_bytes` together until they are whole.
    pub(crate) fn new(
        group: task::TaskGroup,
        connect_timeout: time::Duration,
        buffer_bytes: usize,
    ) -> Self {
        Self {
            pool: backend::ConnectionPool::default(),
            group,
            connect_timeout,
            buffers: buffer::BufferBudget::new(buffer_bytes),
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }

    /// Takes a connection from the pool or opens a new one, without sending any byte of a request.
    ///
    /// # Errors
    ///
    /// An error with verdict `NotRun` if the connection could not be established.
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

    /// Sends one request over `connection` and waits for the answer's head until `deadline`.
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
        // A process that was suspended may resume after the deadline, when its caller has already
        // been answered or has given up.
        if time::Instant::now() >= deadline {
            return Err(backend::AttemptError::not_run(
                backend::AttemptErrorKind::Timeout,
            ));
        }
        let sending = connection.sender.try_send_request(request);
        let answered = tokio::time::timeout_at(deadline.into(), sending).await;
        let answer = match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(mut error)) => {
                // The HTTP library returns a message only if it wrote none of its bytes.
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
        if !is_final(answer.status()) {
            return Err(backend::AttemptError::may_have_run(
                backend::AttemptErrorKind::InvalidStatus,
            ));
        }
        let (head, body) = answer.into_parts();
        Ok(backend::BackendExchange {
            head,
            body,
            connection,
            pool: self.pool.clone(),
            buffers: self.buffers.clone(),
            address: address.clone(),
        })
    }

    /// Opens a connection and closes it again; returns whether the server accepted it.
    pub(crate) async fn accepts_connections(&self, address: &backend::BackendAddress) -> bool {
        let connecting = net::TcpStream::connect(address.socket);
        let connected = tokio::time::timeout(self.connect_timeout, connecting).await;
        matches!(connected, Ok(Ok(_)))
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
            // The connection works without these options, but less efficiently.
            debug!(server:% = address.server, error:% = error; "failed to set connection options");
        }
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake
            .map_err(|_| backend::AttemptError::not_run(backend::AttemptErrorKind::Connect))?;
        let server = address.server.clone();
        self.group.spawn_until_stop(async move {
            if let Err(error) = connection.await {
                debug!(server:% = server, error:% = error; "connection to backend server ended");
            }
        });
        Ok(backend::PooledConnection {
            sender,
            is_reused: false,
        })
    }
}

/// Returns whether a status is that of a final answer (RFC 9110, section 15).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sets socket options that send small requests immediately and detect an unresponsive peer.
fn configure_socket(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
