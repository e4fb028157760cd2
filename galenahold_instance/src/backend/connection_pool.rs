//! Pool of idle connections to backend servers.

use std::collections;
use std::sync;
use std::time;

use http_body_util::Full;
use hyper::client::conn::http1;

use crate::backend;

/// The maximum number of idle connections to one incarnation of a backend server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// How long an idle connection is kept if the server states no idle timeout.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(20);

/// The divisor of the idle timeout that a server states; an idle connection is used only for the
/// resulting time.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;

/// The maximum time for a pooled connection to become ready for its next request.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// The sending half of one HTTP/1 connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(super) sender: http1::SendRequest<Full<bytes::Bytes>>,
    /// Whether the connection has served an earlier request.
    pub(super) is_reused: bool,
}

/// A pool of idle connections, keyed by the address and incarnation of the backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: sync::Arc<sync::Mutex<IdleTable>>,
}

type IdleTable = collections::HashMap<backend::BackendAddress, Vec<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: time::Instant,
    max_idle: time::Duration,
}

impl IdleConnection {
    fn is_usable(&self, max_idle: time::Duration) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() <= self.max_idle.min(max_idle)
    }
}

impl ConnectionPool {
    /// Takes an idle connection that is still open and ready and was idle for at most `max_idle`.
    pub(crate) async fn take(
        &self,
        address: &backend::BackendAddress,
        max_idle: time::Duration,
    ) -> Option<PooledConnection> {
        while let Some(idle) = self.pop(address, max_idle) {
            let mut connection = idle.connection;
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its last answer was read to the end.
    ///
    /// `idle_timeout` is the idle timeout that the server states; without it, the time at which the
    /// server closes the connection is unknown.
    pub(crate) fn put(
        &self,
        address: &backend::BackendAddress,
        mut connection: PooledConnection,
        idle_timeout: Option<time::Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut table = self.lock();
        let idle = table.entry(address.clone()).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection {
                connection,
                since: time::Instant::now(),
                max_idle: idle_timeout
                    .map_or(MAX_IDLE_TIME, |timeout| timeout / IDLE_TIMEOUT_DIVISOR),
            });
        }
    }

    /// Removes connections that are closed or have been idle for too long.
    pub(crate) fn sweep(&self) {
        let mut table = self.lock();
        for idle in table.values_mut() {
            idle.retain(|entry| entry.is_usable(time::Duration::MAX));
        }
        table.retain(|_, idle| !idle.is_empty());
    }

    /// Removes and returns the most recently used connection, if it is still usable.
    fn pop(
        &self,
        address: &backend::BackendAddress,
        max_idle: time::Duration,
    ) -> Option<IdleConnection> {
        let mut table = self.lock();
        let idle = table.get_mut(address)?;
        idle.retain(|entry| entry.is_usable(time::Duration::MAX));
        idle.pop_if(|entry| entry.is_usable(max_idle))
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
