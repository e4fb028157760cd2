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
}

impl ConnectionPool {
    /// Takes an idle connection that is still open and ready.
    pub(crate) async fn take(&self, address: &backend::BackendAddress) -> Option<PooledConnection> {
        while let Some(idle) = self.pop(address) {
            if idle.since.elapsed() > MAX_IDLE_TIME {
                continue;
            }
            let mut connection = idle.connection;
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.ready()).await;
            if matches!(ready, Ok(Ok(()))) && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts back a connection whose last answer was read to its end.
    pub(crate) fn put(&self, address: &backend::BackendAddress, connection: PooledConnection) {
        if connection.is_closed() {
            return;
        }
        let mut table = self.lock();
        let idle = table.entry(address.clone()).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection {
                connection,
                since: time::Instant::now(),
            });
        }
    }

    /// Drops connections that were idle for too long or are closed.
    pub(crate) fn sweep(&self) {
        let mut table = self.lock();
        for idle in table.values_mut() {
            idle.retain(|entry| {
                !entry.connection.is_closed() && entry.since.elapsed() <= MAX_IDLE_TIME
            });
        }
        table.retain(|_, idle| !idle.is_empty());
    }

    fn pop(&self, address: &backend::BackendAddress) -> Option<IdleConnection> {
        self.lock().get_mut(address)?.pop()
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
