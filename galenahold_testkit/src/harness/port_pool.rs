//! Free ports.

use std::net;

use snafu::ResultExt;

use crate::testkit_error::{ListenSnafu, TestkitError};

/// Holds ports that no one else is given while it lives, also while no process listens on them.
///
/// A port is held by a socket that is bound to it and does not listen. The system gives such a port to
/// no outgoing connection and to no one who asks for any port, and lets a process listen on it.
#[derive(Debug, Default)]
pub struct PortPool {
    holders: Vec<socket2::Socket>,
}

impl PortPool {
    /// Takes a free loopback address.
    ///
    /// # Errors
    ///
    /// Fails where no port is free.
    pub fn take(&mut self) -> Result<net::SocketAddr, TestkitError> {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let held = hold(any_port).context(ListenSnafu { address: any_port })?;
        let address = held
            .local_addr()
            .context(ListenSnafu { address: any_port })?;
        self.holders.push(held);
        Ok(address.as_socket().unwrap_or(any_port))
    }
}

fn hold(address: net::SocketAddr) -> std::io::Result<socket2::Socket> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
