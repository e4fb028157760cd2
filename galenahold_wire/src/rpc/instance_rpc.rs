//! Definition of the tarpc service.

// Types that the macro generates have no documentation.
#![allow(missing_docs)]

use crate::message;

/// The RPC service of every instance. Callers set a deadline on each call.
#[tarpc::service]
pub trait InstanceRpc {
    /// Performs the handshake; the first call on a connection.
    async fn hello(request: message::HelloRequest) -> message::HelloReply;

    /// Delivers messages of the replicated log, in order.
    async fn consensus(batch: message::ConsensusBatch) -> message::ConsensusReceipt;

    /// Waits until the configuration is newer than the caller's, or the hold time has passed.
    async fn watch(request: message::WatchRequest) -> message::WatchReply;

    /// Handles a call to the control group's leader; an instance that is not the leader returns the leader's name.
    async fn call(call: message::ControlCall) -> message::ControlReply;

    /// Forwards a call to the leader on behalf of an instance that cannot reach it.
    async fn forward(call: message::ControlCall) -> message::ControlReply;

    /// Receives announcements of backend servers from another instance.
    async fn spread(batch: message::GossipBatch) -> message::GossipReceipt;

    /// Returns this instance's burn counters for the services' objectives.
    async fn burn(request: message::BurnRequest) -> message::BurnReply;
}
