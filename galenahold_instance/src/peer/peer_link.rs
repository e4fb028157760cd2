//! Maintains a reconnecting RPC connection to one other instance.

use std::net;
use std::sync;
use std::time;

use galenahold_wire::codec;
use galenahold_wire::message;
use galenahold_wire::rpc;
use log::warn;
use rand::RngExt;
use tarpc::client;
use tarpc::context;
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;

use crate::peer;
use crate::task;

/// The timeout of connecting, and of the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The minimum pause after a failed connection.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(25);

/// The maximum pause after repeated failures.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// A link to one other instance. It connects at the first call, and reconnects with backoff and jitter after
/// a failure.
#[derive(Debug, Clone)]
pub(crate) struct PeerLink {
    addresses: sync::Arc<[net::SocketAddr]>,
    hello: message::HelloRequest,
    directory: peer::PeerDirectory,
    group: task::TaskGroup,
    state: sync::Arc<tokio_sync::Mutex<LinkState>>,
}

#[derive(Debug, Default)]
struct LinkState {
    client: Option<rpc::InstanceRpcClient>,
    pause: time::Duration,
    retry_at: Option<time::Instant>,
}

impl PeerLink {
    /// Creates a link that is not yet connected.
    pub(crate) fn new(
        addresses: Vec<net::SocketAddr>,
        hello: message::HelloRequest,
        directory: peer::PeerDirectory,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            addresses: sync::Arc::from(addresses),
            hello,
            directory,
            group,
            state: sync::Arc::default(),
        }
    }

    /// Returns the addresses to connect to, in order of preference.
    pub(crate) fn addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Returns a connected client.
    ///
    /// # Errors
    ///
    /// [`peer::CallError::NotExecuted`] if connecting fails or the pause after a failure is not over.
    pub(crate) async fn client(&self) -> Result<rpc::InstanceRpcClient, peer::CallError> {
        let mut state = self.state.lock().await;
        if let Some(client) = &state.client {
            return Ok(client.clone());
        }
        let now = time::Instant::now();
        if state.retry_at.is_some_and(|retry_at| now < retry_at) {
            return Err(peer::CallError::NotExecuted);
        }
        if let Some(client) = self.connect().await {
            state.client = Some(client.clone());
            state.pause = time::Duration::ZERO;
            state.retry_at = None;
            Ok(client)
        } else {
            state.back_off(time::Instant::now());
            Err(peer::CallError::NotExecuted)
        }
    }

    /// Drops the connection after a failed call, so that a later call reconnects.
    pub(crate) async fn reset(&self) {
        let mut state = self.state.lock().await;
        if state.client.take().is_some() {
            state.back_off(time::Instant::now());
        }
    }

    /// Returns the context of a call with the given time limit.
    pub(crate) fn context(limit: time::Duration) -> context::Context {
        let mut context = context::current();
        context.deadline = time::Instant::now() + limit;
        context
    }

    async fn connect(&self) -> Option<rpc::InstanceRpcClient> {
        for address in self.addresses.iter() {
            if let Some(client) = self.connect_to(*address).await {
                return Some(client);
            }
        }
        None
    }

    async fn connect_to(&self, address: net::SocketAddr) -> Option<rpc::InstanceRpcClient> {
        let connecting = tokio_net::TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let compression = codec::CompressionSwitch::default();
        let transport = rpc::frame_transport(stream, compression.clone());
        let new_client = rpc::InstanceRpcClient::new(client::Config::default(), transport);
        let dispatch = new_client.dispatch;
        self.group.spawn_until_stop(async move {
            // A broken connection surfaces as an error of its calls.
            let _ = dispatch.await;
        });
        self.handshake(new_client.client, address, &compression)
            .await
    }

    /// Verifies that the intended instance answers, because other instances may reuse its address.
    async fn handshake(
        &self,
        client: rpc::InstanceRpcClient,
        address: net::SocketAddr,
        compression: &codec::CompressionSwitch,
    ) -> Option<rpc::InstanceRpcClient> {
        let context = Self::context(CONNECT_TIMEOUT);
        let calling = client.hello(context, self.hello.clone());
        let called = tokio::time::timeout(CONNECT_TIMEOUT, calling).await;
        match called.ok()?.ok()? {
            message::HelloReply::Welcome { card, unpacks } => {
                if unpacks {
                    compression.enable();
                }
                self.directory.record_contact(&card, time::Instant::now());
                Some(client)
            }
            message::HelloReply::Stranger => {
                warn!(
                    wanted:% = self.hello.to,
                    address:% = address;
                    "another instance answers at the address"
                );
                None
            }
        }
    }
}

impl LinkState {
    fn back_off(&mut self, now: time::Instant) {
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        let jitter = rand::rng().random_range(0.5..1.0);
        self.retry_at = Some(now + self.pause.mul_f64(jitter));
    }
}
