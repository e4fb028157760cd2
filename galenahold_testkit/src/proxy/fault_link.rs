//! One proxied address.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::direction_state::DirectionState;
use super::link_pump::LinkPump;
use super::socket_owner::find_owner;
use super::{LinkDirection, LinkFault};
use crate::host;
use crate::http;
use crate::state_lock;
use crate::testkit_error::TestkitError;

/// Pause after a failed accept or bind.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(10);

#[derive(Debug)]
struct LinkState {
    to_server: sync::Arc<DirectionState>,
    to_client: sync::Arc<DirectionState>,
    refusing: watch::Sender<bool>,
    resets: watch::Sender<u64>,
    connections: atomic::AtomicU64,
    target: net::SocketAddr,
    sources: state_lock::StateLock<Vec<LinkSource>>,
}

/// A process whose connections belong to another link.
#[derive(Debug)]
struct LinkSource {
    process: u32,
    state: sync::Arc<LinkState>,
}

impl LinkState {
    /// Returns the state of the link that a connection belongs to.
    fn state_for(
        self: &sync::Arc<Self>,
        peer: net::SocketAddr,
        address: net::SocketAddr,
    ) -> sync::Arc<Self> {
        let sources = self.sources.lock();
        let processes = sources.iter().map(|source| source.process);
        let owner = if sources.is_empty() {
            None
        } else {
            find_owner(peer, address, processes)
        };
        // The last start of an instance counts, should a process id come again.
        let source = owner.and_then(|owner| {
            let mut sources = sources.iter().rev();
            sources.find(|source| source.process == owner)
        });
        source.map_or_else(
            || sync::Arc::clone(self),
            |source| sync::Arc::clone(&source.state),
        )
    }
}

/// Stands between the clients of one address and its server.
#[derive(Debug, Clone)]
pub struct FaultLink {
    address: net::SocketAddr,
    state: sync::Arc<LinkState>,
}

impl FaultLink {
    /// Opens a link on tasks of `scope`.
    pub(crate) fn open(
        scope: &host::TaskScope,
        address: net::SocketAddr,
        target: net::SocketAddr,
    ) -> Result<Self, TestkitError> {
        let (listener, address) = http::HttpServer::bind(address)?.into_listener(scope)?;
        let state = sync::Arc::new(LinkState {
            to_server: sync::Arc::default(),
            to_client: sync::Arc::default(),
            refusing: watch::Sender::new(false),
            resets: watch::Sender::new(0),
            connections: atomic::AtomicU64::new(0),
            target,
            sources: state_lock::StateLock::default(),
        });
        let connections = scope.clone();
        let accepted = sync::Arc::clone(&state);
        scope.spawn(accept_connections(connections, listener, address, accepted));
        Ok(Self { address, state })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the fault of one direction, for open connections too.
    pub fn set(&self, direction: LinkDirection, fault: LinkFault) {
        match direction {
            LinkDirection::ToServer => self.state.to_server.set(fault),
            LinkDirection::ToClient => self.state.to_client.set(fault),
        }
    }

    /// Sets the fault of both directions.
    pub fn set_both(&self, fault: LinkFault) {
        self.state.to_server.set(fault);
        self.state.to_client.set(fault);
    }

    /// Holds all bytes of the connections that are open now, whatever the fault of the link is, and
    /// passes those of later connections.
    ///
    /// This is how a cut ends in a network: connections that the cut has silenced wait for their next
    /// retransmission, while new ones work.
    pub fn hold_connections(&self) {
        let last = self.connections();
        self.state.to_server.hold(last);
        self.state.to_client.hold(last);
    }

    /// Passes the bytes that [`Self::hold_connections`] holds.
    pub fn release_connections(&self) {
        self.state.to_server.hold(0);
        self.state.to_client.hold(0);
    }

    /// Passes all bytes again and listens again.
    pub fn heal(&self) {
        self.set_both(LinkFault::pass());
        self.release_connections();
        self.refuse(false);
    }

    /// Refuses new connections, or no longer does; open ones go on.
    pub fn refuse(&self, on: bool) {
        self.state.refusing.send_replace(on);
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }

    /// Lets connections that a process opens to this link count as opened to `link`.
    ///
    /// Many processes may know one address, and still each pair has its own faults.
    pub fn attribute(&self, process: u32, link: &Self) {
        self.state.sources.lock().push(LinkSource {
            process,
            state: sync::Arc::clone(&link.state),
        });
    }

    /// Returns the connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.state.connections.load(atomic::Ordering::Relaxed)
    }

    /// Returns the bytes that passed in one direction.
    #[must_use]
    pub fn passed_bytes(&self, direction: LinkDirection) -> u64 {
        match direction {
            LinkDirection::ToServer => self.state.to_server.passed_bytes(),
            LinkDirection::ToClient => self.state.to_client.passed_bytes(),
        }
    }
}

/// Accepts connections for as long as the scope lives; refuses by not listening.
async fn accept_connections(
    scope: host::TaskScope,
    listener: TcpListener,
    address: net::SocketAddr,
    state: sync::Arc<LinkState>,
) {
    let mut refusing = state.refusing.subscribe();
    let mut listener = Some(listener);
    loop {
        if *refusing.borrow_and_update() {
            listener = None;
            // The sender lives as long as the state.
            let _ = refusing.changed().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((client, peer)) => {
                    let state = state.state_for(peer, address);
                    scope.spawn(run_connection(client, state));
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            },
            _ = refusing.changed() => {}
        }
    }
}

/// Passes one connection on, and ends it with a reset when either side or a fault does.
async fn run_connection(mut client: TcpStream, state: sync::Arc<LinkState>) {
    let number = state.connections.fetch_add(1, atomic::Ordering::Relaxed) + 1;
    let mut resets = state.resets.subscribe();
    let ended = tokio::select! {
        ended = pass_both(&mut client, &state, number) => ended,
        _ = resets.changed() => Err(std::io::ErrorKind::ConnectionReset.into()),
    };
    if ended.is_err() {
        reset_on_close(&client);
    }
}

/// Passes both directions until both have ended.
async fn pass_both(client: &mut TcpStream, state: &LinkState, number: u64) -> std::io::Result<()> {
    state.to_server.wait_open(number).await;
    let mut server = TcpStream::connect(state.target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // A connection that is given up must not look whole to the server.
    reset_on_close(&server);
    let (client_reader, client_writer) = client.split();
    let (server_reader, server_writer) = server.split();
    let to_server = LinkPump::new(sync::Arc::clone(&state.to_server), number, server_writer);
    let to_client = LinkPump::new(sync::Arc::clone(&state.to_client), number, client_writer);
    tokio::try_join!(to_server.run(client_reader), to_client.run(server_reader))?;
    Ok(())
}

/// Lets the next close of a socket send a reset.
fn reset_on_close(stream: &TcpStream) {
    // A failure leaves a normal close, which the peer also sees as the end.
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}
