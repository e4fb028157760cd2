//! The calls between instances.

// The macro's own types bear no documentation.
#![allow(missing_docs)]

use crate::message;

/// The calls that each instance answers. Each caller sets a time limit for each call.
#[tarpc::service]
pub trait InstanceRpc {
    /// Says who is reached, before any other call of a connection.
    async fn hello(request: message::HelloRequest) -> message::HelloReply;

    /// Takes messages of the replicated log, in order.
    async fn consensus(batch: message::ConsensusBatch) -> message::ConsensusReceipt;

    /// Waits until the configuration moves on from what the caller has, or the hold time is over.
    async fn watch(request: message::WatchRequest) -> message::WatchReply;

    /// Answers a call to the control group's leader, or says who leads.
    async fn call(call: message::ControlCall) -> message::ControlReply;

    /// Passes a call on to the leader, for an instance that cannot reach it.
    async fn forward(call: message::ControlCall) -> message::ControlReply;

    /// Takes announcements of backend servers from another instance.
    async fn spread(batch: message::GossipBatch) -> message::GossipReceipt;

    /// Returns what this instance counted against the services' objectives.
    async fn burn(request: message::BurnRequest) -> message::BurnReply;
}
