//! Accepts connections of other instances.

use std::time;

use futures::StreamExt;
use galenahold_wire::rpc;
use galenahold_wire::rpc::InstanceRpc;
use log::{debug, warn};
use tarpc::server;
use tarpc::server::Channel;
use tokio::net;

use crate::instance;
use crate::task;

/// How long accepting rests after an error such as too many open files.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Calls of one connection that are answered at once.
const CALLS_IN_FLIGHT: usize = 1_024;

/// Accepts connections of other instances and answers their calls with a service.
#[derive(Debug)]
pub(crate) struct PeerServer {
    listener: net::TcpListener,
    service: instance::InstanceService,
}

impl PeerServer {
    /// Creates a server over a bound socket.
    pub(crate) fn new(listener: net::TcpListener, service: instance::InstanceService) -> Self {
        Self { listener, service }
    }

    /// Serves until the group stops.
    pub(crate) fn start(self, group: &task::TaskGroup) {
        let connections = group.clone();
        group.spawn_until_stop(async move {
            loop {
                self.accept(&connections).await;
            }
        });
    }

    async fn accept(&self, group: &task::TaskGroup) {
        match self.listener.accept().await {
            Ok((stream, peer)) => {
                debug!(peer:% = peer; "instance connected");
                let _ = stream.set_nodelay(true);
                group.spawn_until_stop(answer(stream, self.service.clone()));
            }
            Err(error) => {
                warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(stream: net::TcpStream, service: instance::InstanceService) {
    let channel = server::BaseChannel::with_defaults(rpc::frame_transport(stream));
    channel
        .execute(service.serve())
        .for_each_concurrent(CALLS_IN_FLIGHT, |answering| answering)
        .await;
}
