//! Listens for connections from other instances.

use std::time;

use log::{debug, warn};
use tokio::net;

use crate::peer;
use crate::task;

/// The pause after a failed accept, for example because too many files are open.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Accepts connections from other instances and serves their calls.
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

    /// Starts the accept loop, which runs until the task group stops.
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
