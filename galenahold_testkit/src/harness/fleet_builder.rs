//! The way to start a fleet of instances.

use std::env;
use std::path;
use std::time;

use serde_json::{Value, json};
use sha2::Digest;
use snafu::ResultExt;

use super::instance_plan::InstancePlan;
use super::port_pool::PortPool;
use super::settings_merge::merge_settings;
use super::{
    InstanceAddresses, InstanceFleet, InstanceProcess, PeerLinks, PeerRoute, product_binary,
};
use crate::testkit_error::{FileSnafu, TestkitError};

/// Times that a fleet is started before a lost port is an error.
const START_ATTEMPTS: usize = 3;
/// The name of the operator in the settings.
const OPERATOR_NAME: &str = "operator";

/// Collects what a fleet is like and starts it.
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    control: usize,
    entries: usize,
    data_centres: Vec<String>,
    region: String,
    route: PeerRoute,
    template: Value,
    relays: Vec<RelayChoice>,
    binary: path::PathBuf,
    credential: String,
    environment: Vec<(String, String)>,
    kept_files: Option<path::PathBuf>,
}

/// Says which instance takes its configuration from which.
#[derive(Debug, Clone, Copy)]
struct RelayChoice {
    instance: usize,
    relay: usize,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            control: 3,
            entries: 0,
            data_centres: vec!["dc-1".to_owned(), "dc-2".to_owned(), "dc-3".to_owned()],
            region: "region-1".to_owned(),
            route: PeerRoute::Direct,
            template: json!({}),
            relays: Vec::new(),
            binary: product_binary(),
            credential: "operator-credential".to_owned(),
            environment: Vec::new(),
            kept_files: None,
        }
    }
}

impl FleetBuilder {
    /// Sets the instances that are control and entry instances.
    #[must_use]
    pub fn control(mut self, count: usize) -> Self {
        self.control = count;
        self
    }

    /// Sets the instances that are entry instances only.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Spreads the instances over these data centres.
    #[must_use]
    pub fn data_centres(mut self, names: &[&str]) -> Self {
        self.data_centres = names.iter().map(|&name| name.to_owned()).collect();
        self
    }

    /// Sets how instances reach each other.
    #[must_use]
    pub fn peer_route(mut self, route: PeerRoute) -> Self {
        self.route = route;
        self
    }

    /// Lays settings over those of every instance; objects merge, other values replace.
    #[must_use]
    pub fn settings(mut self, over: &Value) -> Self {
        merge_settings(&mut self.template, over);
        self
    }

    /// Lets an instance take its configuration from another one.
    #[must_use]
    pub fn relay(mut self, instance: usize, relay: usize) -> Self {
        self.relays.push(RelayChoice { instance, relay });
        self
    }

    /// Sets an environment variable of every instance.
    #[must_use]
    pub fn variable(mut self, name: &str, value: &str) -> Self {
        self.environment.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Keeps settings, logs and data in a new folder below `parent`.
    #[must_use]
    pub fn keep_files(mut self, parent: &path::Path) -> Self {
        self.kept_files = Some(parent.to_owned());
        self
    }

    /// Runs another binary.
    #[must_use]
    pub fn binary(mut self, path: &path::Path) -> Self {
        path.clone_into(&mut self.binary);
        self
    }

    /// Starts all instances without waiting for them.
    ///
    /// # Errors
    ///
    /// Fails when a port, a file or the binary cannot be had.
    pub fn start(&self) -> Result<InstanceFleet, TestkitError> {
        let folder = self.make_folder()?;
        let mut pool = PortPool::default();
        let addresses = (0..self.control + self.entries)
            .map(|_| InstanceAddresses::take(&mut pool))
            .collect::<Result<Vec<_>, _>>()?;
        let links = PeerLinks::open(self.route, &addresses)?;
        let mut instances = (0..addresses.len())
            .map(|index| self.plan(index, &addresses, &links, folder.path()))
            .map(InstanceProcess::prepare)
            .collect::<Result<Vec<_>, _>>()?;
        for instance in &mut instances {
            instance.start()?;
        }
        let credential = self.credential.clone();
        Ok(InstanceFleet::new(
            instances, links, pool, folder, credential,
        ))
    }

    /// Starts all instances and waits until they are ready; a lost port is tried again.
    ///
    /// # Errors
    ///
    /// Fails when they are not ready within `limit`; those that end early are started anew first.
    pub fn start_ready(&self, limit: time::Duration) -> Result<InstanceFleet, TestkitError> {
        let mut attempt = 1;
        loop {
            let mut fleet = self.start()?;
            match fleet.wait_ready(limit) {
                Ok(()) => return Ok(fleet),
                Err(error) if attempt >= START_ATTEMPTS || !is_lost_port(&error) => {
                    return Err(error);
                }
                Err(_) => attempt += 1,
            }
        }
    }

    /// Makes the folder of all files; without a wish to keep it, it goes with the fleet.
    fn make_folder(&self) -> Result<tempfile::TempDir, TestkitError> {
        let mut builder = tempfile::Builder::new();
        builder.prefix("fleet-");
        let parent = self.kept_files.clone().unwrap_or_else(env::temp_dir);
        builder.disable_cleanup(self.kept_files.is_some());
        builder
            .tempdir_in(&parent)
            .context(FileSnafu { path: parent })
    }

    /// Makes the plan of one instance.
    fn plan(
        &self,
        index: usize,
        addresses: &[InstanceAddresses],
        links: &PeerLinks,
        folder: &path::Path,
    ) -> InstancePlan {
        let name = instance_name(index);
        let folder = folder.join(&name);
        let control = index < self.control;
        let mut plan = InstancePlan {
            name,
            addresses: addresses[index],
            control,
            folder,
            settings: Value::Null,
            binary: self.binary.clone(),
            shared_routes: links.shared_routes(index),
            environment: self.environment.clone(),
        };
        let roles: &[&str] = if control {
            &["entry", "control"]
        } else {
            &["entry"]
        };
        plan.settings = json!({
            "cluster": "testkit",
            "instance": {
                "name": plan.name,
                "data_centre": self.data_centre(index),
                "region": self.region,
                "roles": roles,
            },
            "listen": plan.addresses.settings(),
            "peers": self.peers(index, addresses, links),
            "operators": [{
                "name": OPERATOR_NAME,
                "credential_sha256": hexadecimal_digest(&self.credential),
            }],
        });
        if control {
            plan.settings["data_folder"] = json!(plan.data_folder());
        }
        if let Some(address) = links.address(None, index) {
            plan.settings["advertise"] = json!({"peers": address});
        }
        merge_settings(&mut plan.settings, &self.template);
        let relays = self.relays.iter().filter(|choice| choice.instance == index);
        for choice in relays {
            plan.settings["relay"] = json!([instance_name(choice.relay)]);
        }
        plan
    }

    /// Lists the control group as one instance sees it.
    fn peers(
        &self,
        index: usize,
        addresses: &[InstanceAddresses],
        links: &PeerLinks,
    ) -> Vec<Value> {
        let relays = self.relays.iter().filter(|choice| choice.instance == index);
        (0..self.control)
            .chain(relays.map(|choice| choice.relay))
            .filter(|&peer| peer != index)
            .map(|peer| {
                let address = links.address(Some(index), peer);
                json!({
                    "name": instance_name(peer),
                    "address": address.unwrap_or(addresses[peer].peers),
                    "data_centre": self.data_centre(peer),
                    "control": peer < self.control,
                })
            })
            .collect()
    }

    fn data_centre(&self, index: usize) -> &str {
        &self.data_centres[index % self.data_centres.len()]
    }
}

/// Returns the name of the instance at `index`.
fn instance_name(index: usize) -> String {
    format!("instance-{}", index + 1)
}

/// Tells whether a port may have been taken between its choice and its use.
fn is_lost_port(error: &TestkitError) -> bool {
    matches!(error, TestkitError::NotReady { ended: true, .. })
}

/// Returns the SHA-256 of a text in hexadecimal.
fn hexadecimal_digest(text: &str) -> String {
    let digest = sha2::Sha256::digest(text.as_bytes());
    let digits = digest
        .iter()
        .flat_map(|byte| [byte >> 4, byte & 0x0f])
        .filter_map(|digit| char::from_digit(u32::from(digit), 16));
    digits.collect()
}
