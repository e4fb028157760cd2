//! Limits the concurrent connections of an HTTP API.

use std::collections;
use std::net;
use std::sync;

use crate::api;

/// Counts the open connections of an HTTP API, in total and per client address, against its limits.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionCounter {
    limits: api::ConnectionLimits,
    counts: sync::Arc<sync::Mutex<ConnectionCounts>>,
}

#[derive(Debug, Default)]
struct ConnectionCounts {
    total: usize,
    by_address: collections::HashMap<net::IpAddr, usize>,
}

/// The permit of one open connection; dropping it releases the permit.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    counter: ConnectionCounter,
    address: net::IpAddr,
}

impl ConnectionCounter {
    /// Creates a counter with no open connections.
    pub(crate) fn new(limits: api::ConnectionLimits) -> Self {
        Self {
            limits,
            counts: sync::Arc::default(),
        }
    }

    /// Acquires a permit for a connection from `address`; `None` if a limit is reached.
    pub(crate) fn try_acquire(&self, address: net::IpAddr) -> Option<ConnectionPermit> {
        let mut counts = self.lock();
        let held = counts.by_address.get(&address).copied().unwrap_or(0);
        if counts.total >= self.limits.max_connections || held >= self.limits.max_per_address {
            return None;
        }
        counts.total += 1;
        counts.by_address.insert(address, held + 1);
        drop(counts);
        Some(ConnectionPermit {
            counter: self.clone(),
            address,
        })
    }

    fn release(&self, address: net::IpAddr) {
        let mut counts = self.lock();
        counts.total -= 1;
        let Some(held) = counts.by_address.get_mut(&address) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            counts.by_address.remove(&address);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ConnectionCounts> {
        self.counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.counter.release(self.address);
    }
}
