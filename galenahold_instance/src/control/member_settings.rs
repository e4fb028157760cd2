//! Derives the settings of a control group member from those of the instance.

use std::net;
use std::path;
use std::time;

use galenahold_consensus::member;
use galenahold_domain::name;
use galenahold_settings::InstanceSettings;

/// Settings of a member of the control group.
#[derive(Debug)]
pub(crate) struct MemberSettings {
    /// The data folder.
    pub(crate) folder: path::PathBuf,
    /// The name of the member.
    pub(crate) name: name::InstanceName,
    /// The address at which other members reach this one.
    pub(crate) address: net::SocketAddr,
    /// The members with which the group is bootstrapped.
    pub(crate) bootstrap_members: Vec<member::MemberEndpoint>,
    /// Whether a member with an empty data folder may bootstrap a group, rather than only join one.
    pub(crate) may_found: bool,
    /// The shortest time without a leader after which the member asks for an election.
    pub(crate) election_timeout: time::Duration,
    /// The interval between heartbeats of the leader.
    pub(crate) heartbeat: time::Duration,
    /// The maximum difference between clock rates, in thousandths.
    pub(crate) clock_drift_permille: u32,
}

impl MemberSettings {
    /// Returns the settings of the member at an instance with a configured control group.
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

/// Returns the members with which the group is bootstrapped, including this one.
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
