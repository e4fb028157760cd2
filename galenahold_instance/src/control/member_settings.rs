//! Settings of a member of the control group.

use std::net;
use std::path;
use std::time;

use galenahold_consensus::member;
use galenahold_domain::name;
use galenahold_settings::InstanceSettings;

/// Settings of a member of the control group.
#[derive(Debug)]
pub(crate) struct MemberSettings {
    /// Its data folder.
    pub(crate) folder: path::PathBuf,
    /// Its name.
    pub(crate) name: name::InstanceName,
    /// Where other members reach it.
    pub(crate) address: net::SocketAddr,
    /// The members with which the group is founded.
    pub(crate) bootstrap_members: Vec<member::MemberEndpoint>,
    /// Whether an empty data folder may found a group, rather than only join one.
    pub(crate) may_found: bool,
    /// Shortest time without a leader after which it asks for an election.
    pub(crate) election_timeout: time::Duration,
    /// Time between the leader's heartbeats.
    pub(crate) heartbeat: time::Duration,
    /// How much clock rates may differ, in thousandths.
    pub(crate) clock_drift_permille: u32,
}

impl MemberSettings {
    /// Takes the settings of an instance whose control group is configured.
    pub(crate) fn of_instance(settings: &InstanceSettings, folder: &path::Path) -> Self {
        let permille = settings.timing.clock_drift_per_million().div_ceil(1_000);
        Self {
            folder: folder.to_owned(),
            name: settings.instance.name.clone(),
            address: settings.peer_address(),
            bootstrap_members: bootstrap_members(settings),
            may_found: true,
            election_timeout: settings.timing.election_timeout(),
            heartbeat: settings.timing.heartbeat(),
            clock_drift_permille: u32::try_from(permille).unwrap_or(u32::MAX),
        }
    }
}

/// Returns the members with which the group is founded, this one included.
fn bootstrap_members(settings: &InstanceSettings) -> Vec<member::MemberEndpoint> {
    let own = member::MemberEndpoint::new(
        &settings.instance.name,
        &settings.peer_address().to_string(),
    );
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.control && peer.name != settings.instance.name)
        .map(|peer| member::MemberEndpoint::new(&peer.name, &peer.address.to_string()));
    others.chain([own]).collect()
}
