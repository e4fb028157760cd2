//! Answers calls to the leader at this instance itself.

use std::future;

use galenahold_wire::message;

/// Answers calls to the leader at this instance itself, without a connection.
pub(crate) trait LocalHandler: Clone + Send + Sync + 'static {
    /// Returns whether this instance leads.
    fn is_leader(&self) -> bool;

    /// Answers a call.
    fn answer(
        &self,
        call: message::ControlCall,
    ) -> impl future::Future<Output = message::ControlReply> + Send;

    /// Answers a wait for the configuration.
    fn watch(
        &self,
        request: message::WatchRequest,
    ) -> impl future::Future<Output = message::WatchReply> + Send;
}
