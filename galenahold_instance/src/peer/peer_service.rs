//! Answers the calls of one connection.

use std::future;

use tokio::net;

/// Calls of one connection that are answered at once.
pub(crate) const CALLS_IN_FLIGHT: usize = 1_024;

/// Answers the calls of one connection.
///
/// The library's futures are only known to be sendable where the service's type is, so each service
/// drives its own connections.
pub(crate) trait PeerService: Clone + Send + Sync + 'static {
    /// Answers calls until the connection ends.
    fn answer(self, stream: net::TcpStream) -> impl future::Future<Output = ()> + Send;
}
