//! Running instances with their links.

use std::net;
use std::path;
use std::thread;
use std::time;

use super::port_pool::PortPool;
use super::{InstanceProcess, OperatorClient, PeerLinks};
use crate::load;
use crate::testkit_error::TestkitError;

/// Pause between looks at the instances.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Holds instances, links and files until it is dropped.
#[derive(Debug)]
pub struct InstanceFleet {
    // The order matters: processes end before their links and files go.
    instances: Vec<InstanceProcess>,
    links: PeerLinks,
    _ports: PortPool,
    folder: tempfile::TempDir,
    credential: String,
}

impl InstanceFleet {
    /// Puts a fleet together.
    pub(crate) fn new(
        instances: Vec<InstanceProcess>,
        links: PeerLinks,
        ports: PortPool,
        folder: tempfile::TempDir,
        credential: String,
    ) -> Self {
        Self {
            instances,
            links,
            _ports: ports,
            folder,
            credential,
        }
    }

    /// Returns the instances; those of the control group come first.
    #[must_use]
    pub fn instances(&self) -> &[InstanceProcess] {
        &self.instances
    }

    /// Returns the instances to start, kill and wait for.
    pub fn instances_mut(&mut self) -> &mut [InstanceProcess] {
        &mut self.instances
    }

    /// Returns the links between instances.
    #[must_use]
    pub fn links(&self) -> &PeerLinks {
        &self.links
    }

    /// Returns the folder with all files.
    #[must_use]
    pub fn folder(&self) -> &path::Path {
        self.folder.path()
    }

    /// Returns an operator of this fleet.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.operators(), &self.credential)
    }

    /// Returns the operator's credential.
    #[must_use]
    pub fn operator_credential(&self) -> &str {
        &self.credential
    }

    /// Lists the addresses for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        let addresses = self.instances.iter().map(InstanceProcess::addresses);
        addresses.map(|addresses| addresses.callers).collect()
    }

    /// Lists the instances as targets behind a balancer that reads their readiness.
    #[must_use]
    pub fn load_targets(&self) -> Vec<load::LoadTarget> {
        let addresses = self.instances.iter().map(InstanceProcess::addresses);
        let targets =
            addresses.map(|known| load::LoadTarget::while_ready(known.callers, known.platform));
        targets.collect()
    }

    /// Lists the addresses for backend servers.
    #[must_use]
    pub fn backends(&self) -> Vec<net::SocketAddr> {
        let addresses = self.instances.iter().map(InstanceProcess::addresses);
        addresses.map(|addresses| addresses.backends).collect()
    }

    /// Lists the addresses for operators.
    #[must_use]
    pub fn operators(&self) -> Vec<net::SocketAddr> {
        let addresses = self.instances.iter().map(InstanceProcess::addresses);
        addresses.map(|addresses| addresses.operators).collect()
    }

    /// Waits until all instances are ready, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails with the first instance that ends, which the others may wait for in vain, or else with
    /// the first that is not ready in time.
    pub fn wait_ready(&mut self, limit: time::Duration) -> Result<(), TestkitError> {
        let deadline = time::Instant::now() + limit;
        loop {
            for instance in &mut self.instances {
                instance.check_runs()?;
            }
            let Some(unready) = self.instances.iter_mut().find(|one| !one.is_ready()) else {
                return Ok(());
            };
            if time::Instant::now() >= deadline {
                return unready.wait_ready(time::Duration::ZERO);
            }
            thread::sleep(POLL_PAUSE);
        }
    }
}
