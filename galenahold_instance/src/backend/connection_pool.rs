//! Idle connections to backend servers.

use std::collections;
use std::sync;
use std::time;

use http_body_util::Full;
use hyper::client::conn::http1;

use crate::backend;

/// Idle connections kept for one backend server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// How long an idle connection is kept.
const MAX_IDLE_TIME: time::Duration = time::Duration::from_secs(20);

/// The part of the idle timeout that a server states for which a connection is used: one part in this.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;

/// How long a connection may take to become ready for its next request.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// The sending half of one connection.
pub(crate) type PooledConnection = http1::SendRequest<Full<bytes::Bytes>>;

/// Idle connections to backend servers, by incarnation.
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
        !self.connection.is_closed() && self.since.elapsed() <= self.max_idle.min(max_idle)
    }
}

impl ConnectionPool {
    /// Takes an idle connection that is still open and ready.
    ///
    /// It was idle for `max_idle` at most.
    pub(crate) async fn take(
        &self,
        address: &backend::BackendAddress,
        max_idle: time::Duration,
    ) -> Option<PooledConnection> {
        while let Some(idle) = self.pop(address, max_idle) {
            let mut connection = idle.connection;
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts back a connection whose last answer was read to its end.
    ///
    /// `idle_timeout` is what the server states; without it, it is not known when the server closes.
    pub(crate) fn put(
        &self,
        address: &backend::BackendAddress,
        connection: PooledConnection,
        idle_timeout: Option<time::Duration>,
    ) {
        if connection.is_closed() {
            return;
        }
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

    /// Drops connections that were idle for too long or are closed.
    pub(crate) fn sweep(&self) {
        let mut table = self.lock();
        for idle in table.values_mut() {
            idle.retain(|entry| entry.is_usable(time::Duration::MAX));
        }
        table.retain(|_, idle| !idle.is_empty());
    }

    /// Takes the connection out that was used last, if it may still be used.
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
