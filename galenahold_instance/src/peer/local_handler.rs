//! The interface for handling calls to the leader locally.

use std::future;

use galenahold_wire::message;

/// Handles calls to the leader at this instance itself, without a connection.
pub(crate) trait LocalHandler: Clone + Send + Sync + 'static {
    /// Returns whether this instance is the leader.
    fn is_leader(&self) -> bool;

    /// Handles a call.
    fn answer(
        &self,
        call: message::ControlCall,
    ) -> impl future::Future<Output = message::ControlReply> + Send;

    /// Handles a watch call for the configuration.
    fn watch(
        &self,
        request: message::WatchRequest,
    ) -> impl future::Future<Output = message::WatchReply> + Send;
}
