//! The links between instances.

use std::net;

use super::shared_route::SharedRoute;
use super::{InstanceAddresses, PeerRoute};
use crate::proxy;
use crate::testkit_error::TestkitError;

/// A link from one instance to another, or from all.
#[derive(Debug)]
struct PeerLink {
    /// `None` for the link that all others share.
    from: Option<usize>,
    to: usize,
    link: proxy::FaultLink,
}

/// Holds the links of a fleet by the positions of its instances.
#[derive(Debug)]
pub struct PeerLinks {
    _proxy: proxy::FaultProxy,
    links: Vec<PeerLink>,
}

impl PeerLinks {
    /// Opens the links of a route.
    pub(crate) fn open(
        route: PeerRoute,
        addresses: &[InstanceAddresses],
    ) -> Result<Self, TestkitError> {
        let proxy = proxy::FaultProxy::start()?;
        let mut links = Vec::new();
        for (to, target) in addresses.iter().enumerate() {
            if route == PeerRoute::Direct {
                continue;
            }
            let pairs = (0..addresses.len()).filter(|&from| from != to).map(Some);
            let pairs = pairs.filter(|_| route == PeerRoute::Pairs);
            for from in pairs.chain([None]) {
                let link = proxy.link(target.peers)?;
                links.push(PeerLink { from, to, link });
            }
        }
        Ok(Self {
            _proxy: proxy,
            links,
        })
    }

    /// Returns the address by which `from` reaches `to`; `None` stands for any instance.
    pub(crate) fn address(&self, from: Option<usize>, to: usize) -> Option<net::SocketAddr> {
        let link = self.link(from, to).or_else(|| self.link(None, to));
        link.map(proxy::FaultLink::address)
    }

    /// Lists the ways of one instance to all others by the addresses that all know.
    pub(crate) fn shared_routes(&self, from: usize) -> Vec<SharedRoute> {
        let own = self.links.iter().filter(|peer| peer.from == Some(from));
        let routes = own.filter_map(|peer| {
            let shared = self.link(None, peer.to)?;
            Some(SharedRoute::new(shared, &peer.link))
        });
        routes.collect()
    }

    /// Returns the link from `from`, or from all if `None`, to `to`.
    #[must_use]
    pub fn link(&self, from: Option<usize>, to: usize) -> Option<&proxy::FaultLink> {
        let found = self
            .links
            .iter()
            .find(|peer| peer.from == from && peer.to == to);
        found.map(|peer| &peer.link)
    }

    /// Sets the fault of all links to and from one instance.
    ///
    /// With [`PeerRoute::Inbound`] only the links to it are known; what it sends goes on.
    pub fn isolate(&self, instance: usize, fault: proxy::LinkFault) {
        for peer in &self.links {
            if peer.to == instance || peer.from == Some(instance) {
                peer.link.set_both(fault);
            }
        }
    }

    /// Sets the fault of each link by the positions that it joins; the first is `None` for all.
    pub fn set_each(&self, fault_of: impl Fn(Option<usize>, usize) -> proxy::LinkFault) {
        for peer in &self.links {
            peer.link.set_both(fault_of(peer.from, peer.to));
        }
    }

    /// Sets the fault of all links.
    pub fn set_all(&self, fault: proxy::LinkFault) {
        for peer in &self.links {
            peer.link.set_both(fault);
        }
    }

    /// Passes everything again.
    pub fn heal(&self) {
        for peer in &self.links {
            peer.link.heal();
        }
    }
}
