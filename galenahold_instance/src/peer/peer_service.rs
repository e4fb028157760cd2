//! The interface for serving the calls of a connection.

use std::future;

use tokio::net;

/// The maximum number of concurrent calls of one connection.
pub(crate) const CALLS_IN_FLIGHT: usize = 1_024;

/// Serves the calls of one connection.
///
/// The compiler can only prove that the futures of the RPC library are `Send` where the concrete service type
/// is known, so each service drives its own connections.
pub(crate) trait PeerService: Clone + Send + Sync + 'static {
    /// Serves calls until the connection ends.
    fn answer(self, stream: net::TcpStream) -> impl future::Future<Output = ()> + Send;
}
