//! Accepts connections of other instances.

use std::time;

use log::{debug, warn};
use tokio::net;

use crate::peer;
use crate::task;

/// How long accepting rests after an error such as too many open files.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Accepts connections of other instances and answers their calls with a service.
#[derive(Debug)]
pub(crate) struct PeerServer<Service> {
    listener: net::TcpListener,
    service: Service,
}

impl<Service: peer::PeerService> PeerServer<Service> {
    /// Creates a server over a bound socket.
    pub(crate) fn new(listener: net::TcpListener, service: Service) -> Self {
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
                group.spawn_until_stop(self.service.clone().answer(stream));
            }
            Err(error) => {
                warn!(error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
