//! RPC service for other instances at a member of the control group.

use std::time;

use futures::StreamExt;
use galenahold_wire::codec;
use galenahold_wire::message;
use galenahold_wire::rpc;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net;

use crate::gateway;
use crate::gateway::control;
use crate::operator::LocalBurn;
use crate::peer;
use crate::peer::LocalHandler;
use crate::platform;

/// Serves the RPCs of other instances at a member of the control group.
#[derive(Debug)]
pub(crate) struct GatewayService<Dialect> {
    /// The cluster name that connecting instances have to send.
    pub(crate) cluster: &'static str,
    /// Passes messages to the log and answers control calls while this member leads.
    pub(crate) handler: control::FleetHandler<Dialect>,
    /// Forwards calls to the leader.
    pub(crate) client: peer::ControlClient<control::FleetHandler<Dialect>>,
    /// The known instances.
    pub(crate) directory: peer::PeerDirectory,
    /// Counts requests against service level objectives.
    pub(crate) recorder: platform::BurnRecorder,
    /// Whether messages on this connection may be compressed.
    pub(crate) compression: codec::CompressionSwitch,
}

impl<Dialect> Clone for GatewayService<Dialect> {
    fn clone(&self) -> Self {
        Self {
            cluster: self.cluster,
            handler: self.handler.clone(),
            client: self.client.clone(),
            directory: self.directory.clone(),
            recorder: self.recorder.clone(),
            compression: self.compression.clone(),
        }
    }
}

impl<Dialect: gateway::FleetDialect> rpc::InstanceRpc for GatewayService<Dialect> {
    async fn hello(
        self,
        _context: context::Context,
        request: message::HelloRequest,
    ) -> message::HelloReply {
        let own = self.directory.own();
        if request.cluster != self.cluster || request.to != own.name {
            return message::HelloReply::Stranger;
        }
        self.directory
            .record_contact(&request.card, time::Instant::now());
        if request.unpacks {
            self.compression.enable();
        }
        message::HelloReply::Welcome {
            card: own.clone(),
            unpacks: true,
        }
    }

    async fn consensus(
        self,
        _context: context::Context,
        batch: message::ConsensusBatch,
    ) -> message::ConsensusReceipt {
        message::ConsensusReceipt {
            taken: self.handler.deliver(&batch.messages),
        }
    }

    async fn watch(
        self,
        _context: context::Context,
        request: message::WatchRequest,
    ) -> message::WatchReply {
        if !self.handler.is_leader()
            && let Some(known) = &request.leader_known
        {
            let hold = time::Duration::from_millis(request.hold_ms);
            self.handler.wait_for_other_leader(known, hold).await;
        }
        if self.handler.is_leader() && request.leader_known.is_none() {
            return self.handler.watch(request).await;
        }
        message::WatchReply::unavailable(self.handler.leader_hint())
    }

    async fn call(
        self,
        _context: context::Context,
        call: message::ControlCall,
    ) -> message::ControlReply {
        self.handler.answer(call).await
    }

    async fn forward(
        self,
        _context: context::Context,
        call: message::ControlCall,
    ) -> message::ControlReply {
        self.client.relay_call(call).await
    }

    async fn spread(
        self,
        _context: context::Context,
        _batch: message::GossipBatch,
    ) -> message::GossipReceipt {
        // Declared fleets do not gossip announcements; the leader's roster replaces them.
        message::GossipReceipt {
            card: self.directory.own().clone(),
            missing: Vec::new(),
        }
    }

    async fn burn(
        self,
        _context: context::Context,
        _request: message::BurnRequest,
    ) -> message::BurnReply {
        message::BurnReply {
            snapshot: self.recorder.snapshot(),
        }
    }
}

impl<Dialect: gateway::FleetDialect> peer::PeerService for GatewayService<Dialect> {
    async fn answer(mut self, stream: net::TcpStream) {
        self.compression = codec::CompressionSwitch::default();
        server::BaseChannel::with_defaults(rpc::frame_transport(stream, self.compression.clone()))
            .execute(rpc::InstanceRpc::serve(self))
            .for_each_concurrent(peer::CALLS_IN_FLIGHT, |answering| answering)
            .await;
    }
}
