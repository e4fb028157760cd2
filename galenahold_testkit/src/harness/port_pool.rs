//! Free ports.

use std::net;
use std::sync;

use snafu::ResultExt;

use crate::testkit_error::{ListenSnafu, TestkitError};

/// Keeps processes from being started while ports are held.
///
/// A child that is being started holds the open sockets of all threads for a moment.
static START_LOCK: sync::Mutex<()> = sync::Mutex::new(());

/// Waits until no thread of this process holds ports, and keeps it so.
pub(crate) fn lock_starts() -> sync::MutexGuard<'static, ()> {
    START_LOCK
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}

/// Holds free ports until the processes that are to bind them start.
///
/// Between release and bind another process may take a port; callers retry with a new pool.
#[derive(Debug)]
pub(crate) struct PortPool {
    listeners: Vec<net::TcpListener>,
    _starts: sync::MutexGuard<'static, ()>,
}

impl PortPool {
    /// Makes a pool without ports; no process is started while it lives.
    pub(crate) fn open() -> Self {
        Self {
            listeners: Vec::new(),
            _starts: lock_starts(),
        }
    }

    /// Takes a free loopback address.
    pub(crate) fn take(&mut self) -> Result<net::SocketAddr, TestkitError> {
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = net::TcpListener::bind(address).context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        self.listeners.push(listener);
        Ok(address)
    }
}
