//! Implements the RPC service that other instances call.

use std::time;

use futures::StreamExt;
use galenahold_wire::codec;
use galenahold_wire::message;
use galenahold_wire::rpc;
use tarpc::context;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net;

use crate::configuration;
use crate::control;
use crate::operator::LocalBurn;
use crate::peer;
use crate::peer::LocalHandler;
use crate::platform;
use crate::registry;

/// Serves the RPC calls of other instances.
#[derive(Debug, Clone)]
pub(crate) struct InstanceService {
    /// The cluster to which this instance belongs.
    pub(crate) cluster: String,
    /// Handles calls to the leader and messages of the log.
    pub(crate) handler: control::ControlHandler,
    /// Calls the leader.
    pub(crate) client: peer::ControlClient<control::ControlHandler>,
    /// Relays the configuration.
    pub(crate) watch: configuration::WatchServer,
    /// The known instances.
    pub(crate) directory: peer::PeerDirectory,
    /// The known backend servers.
    pub(crate) registry: registry::ServerRegistry,
    /// Sends cache events to the replica table.
    pub(crate) events: tokio::sync::mpsc::Sender<galenahold_domain::server::CacheEvent>,
    /// Records requests against their objectives.
    pub(crate) recorder: platform::BurnRecorder,
    /// Whether the messages of this connection are compressed.
    pub(crate) compression: codec::CompressionSwitch,
}

impl peer::PeerService for InstanceService {
    async fn answer(mut self, stream: net::TcpStream) {
        self.compression = codec::CompressionSwitch::default();
        server::BaseChannel::with_defaults(rpc::frame_transport(stream, self.compression.clone()))
            .execute(rpc::InstanceRpc::serve(self))
            .for_each_concurrent(peer::CALLS_IN_FLIGHT, |answering| answering)
            .await;
    }
}

impl rpc::InstanceRpc for InstanceService {
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
        self.directory
            .record_contact(&request.card, time::Instant::now());
        if self.handler.is_leader() {
            return self.handler.watch(request).await;
        }
        self.watch
            .watch(request, || self.handler.leader_hint())
            .await
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
        batch: message::GossipBatch,
    ) -> message::GossipReceipt {
        let now = time::Instant::now();
        self.directory.record_contact(&batch.card, now);
        self.directory.learn(&batch.known, now);
        for aged in batch.announcements {
            let age = time::Duration::from_millis(aged.age_ms);
            self.registry.record(aged.announcement, age, false, now);
        }
        for notice in batch.notices {
            self.registry.record_notice(notice, now);
        }
        let missing = batch
            .heartbeats
            .iter()
            .filter(|heartbeat| !self.registry.record_heartbeat(heartbeat, now))
            .map(|heartbeat| heartbeat.name.clone())
            .collect();
        for event in batch.events {
            // An event to a full queue is dropped, which shows as a gap in the sequence.
            let _ = self.events.try_send(event);
        }
        message::GossipReceipt {
            card: self.directory.own().clone(),
            missing,
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
