//! Which process a loopback connection comes from.

use std::fs;
use std::net;

/// The kernel's table of TCP sockets.
const SOCKET_TABLE: &str = "/proc/net/tcp";
/// Position of the inode in a line of the table.
const INODE_FIELD: usize = 9;

/// Finds the process among `candidates` that holds the socket from `local` to `remote`.
pub(crate) fn find_owner(
    local: net::SocketAddr,
    remote: net::SocketAddr,
    candidates: impl Iterator<Item = u32>,
) -> Option<u32> {
    let table = fs::read_to_string(SOCKET_TABLE).ok()?;
    let inode = find_inode(&table, local, remote)?;
    let link = format!("socket:[{inode}]");
    candidates
        .into_iter()
        .find(|&process| holds(process, &link))
}

/// Finds the inode of a socket in the table.
fn find_inode(table: &str, local: net::SocketAddr, remote: net::SocketAddr) -> Option<&str> {
    let (local, remote) = (table_address(local)?, table_address(remote)?);
    let mut lines = table.lines().map(str::split_whitespace);
    lines.find_map(|mut fields| {
        let found = fields.nth(1)? == local && fields.next()? == remote;
        // Three fields are gone.
        found.then(|| fields.nth(INODE_FIELD - 3)).flatten()
    })
}

/// Writes an address as the table does: the number's bytes in the machine's order.
fn table_address(address: net::SocketAddr) -> Option<String> {
    let net::IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let number = u32::from_ne_bytes(ip.octets());
    Some(format!("{number:08X}:{:04X}", address.port()))
}

/// Tells whether a process holds the open file that `link` names.
fn holds(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut targets = files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok());
    targets.any(|target| target.as_os_str() == link)
}
