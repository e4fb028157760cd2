//! Communication with other instances: their directory, links to them, and calls to the leader.

mod call_error;
mod control_client;
mod local_handler;
mod peer_directory;
mod peer_link;
mod peer_network;
mod peer_server;
mod peer_service;

pub(crate) use call_error::CallError;
pub(crate) use control_client::ControlClient;
pub(crate) use local_handler::LocalHandler;
pub(crate) use peer_directory::PeerDirectory;
pub(crate) use peer_link::PeerLink;
pub(crate) use peer_network::PeerNetwork;
pub(crate) use peer_server::PeerServer;
pub(crate) use peer_service::{CALLS_IN_FLIGHT, PeerService};
