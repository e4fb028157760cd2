//! Calls other instances over links created on demand.

use std::collections;
use std::future;
use std::sync;
use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;
use galenahold_wire::message;
use galenahold_wire::rpc;
use tarpc::client;
use tarpc::context;

use crate::peer;
use crate::task;

/// The links to all other instances, each created at its first use.
#[derive(Debug, Clone)]
pub(crate) struct PeerNetwork {
    cluster: sync::Arc<str>,
    directory: peer::PeerDirectory,
    group: task::TaskGroup,
    links: sync::Arc<sync::Mutex<LinkTable>>,
}

type LinkTable = collections::HashMap<name::InstanceName, peer::PeerLink>;

impl PeerNetwork {
    /// Creates a network of the instances in `directory`, which belong to one cluster.
    pub(crate) fn new(
        cluster: String,
        directory: peer::PeerDirectory,
        group: task::TaskGroup,
    ) -> Self {
        Self {
            cluster: sync::Arc::from(cluster),
            directory,
            group,
            links: sync::Arc::default(),
        }
    }

    /// Returns the directory of instances.
    pub(crate) fn directory(&self) -> &peer::PeerDirectory {
        &self.directory
    }

    /// Calls another instance within `limit`.
    ///
    /// All calls to an instance share a connection. One without an answer ends it, unless the call had
    /// hardly any time to be answered.
    ///
    /// # Errors
    ///
    /// [`peer::CallError::NotExecuted`] if no byte was sent, otherwise [`peer::CallError::Unknown`].
    pub(crate) async fn call<Reply, Calling, Method>(
        &self,
        name: &name::InstanceName,
        limit: time::Duration,
        method: Method,
    ) -> Result<Reply, peer::CallError>
    where
        Method: FnOnce(rpc::InstanceRpcClient, context::Context) -> Calling,
        Calling: future::Future<Output = Result<Reply, client::RpcError>>,
    {
        let link = self.link(name).ok_or(peer::CallError::NotExecuted)?;
        let client = link.client().await?;
        let calling = method(client, peer::PeerLink::context(limit));
        let called = tokio::time::timeout(limit, calling).await;
        if let Ok(Ok(reply)) = called {
            return Ok(reply);
        }
        if called.is_ok() || limit >= leader::MIN_PROOF_TIME {
            link.reset().await;
        }
        Err(peer::CallError::Unknown)
    }

    fn link(&self, name: &name::InstanceName) -> Option<peer::PeerLink> {
        let addresses = self.directory.addresses(name);
        if addresses.is_empty() {
            return None;
        }
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(link) = links.get(name)
            && link.addresses() == addresses
        {
            return Some(link.clone());
        }
        let hello = message::HelloRequest {
            cluster: self.cluster.to_string(),
            card: self.directory.own().clone(),
            to: name.clone(),
            unpacks: true,
        };
        let link =
            peer::PeerLink::new(addresses, hello, self.directory.clone(), self.group.clone());
        links.insert(name.clone(), link.clone());
        Some(link)
    }
}
