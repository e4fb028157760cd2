//! The root of the settings file.

use std::fs;
use std::net;
use std::path;

use galenahold_domain::name;
use snafu::ResultExt;

use crate::description;
use crate::error;
use crate::group;
use crate::reader;

const EMPTY_LIST: description::DefaultValue = description::DefaultValue::EmptyList;
const EMPTY_GROUP: description::DefaultValue = description::DefaultValue::EmptyGroup;

const CLUSTER: description::FieldDescription = description::FieldDescription::required(
    "cluster",
    description::ValueKind::Name,
    "The cluster's name; instances of another cluster are refused.",
);

pub(crate) const INSTANCE: description::FieldDescription = description::FieldDescription::required(
    "instance",
    description::ValueKind::Group(&group::InstanceIdentity::DESCRIPTION),
    "The instance's name, location and roles.",
);

pub(crate) const LISTEN: description::FieldDescription = description::FieldDescription::required(
    "listen",
    description::ValueKind::Group(&group::ListenSettings::DESCRIPTION),
    "Addresses that the instance listens on.",
);

pub(crate) const ADVERTISE: description::FieldDescription =
    description::FieldDescription::required(
        "advertise",
        description::ValueKind::Group(&group::AdvertiseSettings::DESCRIPTION),
        "Addresses that others connect to, if they differ from `listen`.",
    )
    .default_value(EMPTY_GROUP);

pub(crate) const DATA_FOLDER: description::FieldDescription =
    description::FieldDescription::required(
        "data_folder",
        description::ValueKind::Path,
        "Folder on a disk for the control state; required with the role `control`, not allowed without it.",
    )
    .optional();

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    description::ValueKind::List(&description::ValueKind::Group(
        &group::PeerSettings::DESCRIPTION,
    )),
    "The other instances known at start; they must include those of the control group.",
)
.default_value(EMPTY_LIST);

pub(crate) const RELAY: description::FieldDescription = description::FieldDescription::required(
    "relay",
    description::ValueKind::List(&description::ValueKind::Name),
    "Names of the peers from which the instance fetches the configuration instead of from the control group, in order of preference; not allowed with the role `control`.",
)
.default_value(EMPTY_LIST);

pub(crate) const OPERATORS: description::FieldDescription =
    description::FieldDescription::required(
        "operators",
        description::ValueKind::List(&description::ValueKind::Group(
            &group::OperatorSettings::DESCRIPTION,
        )),
        "The operators who may use the operator HTTP API; required with `listen.operators`.",
    )
    .default_value(EMPTY_LIST);

pub(crate) const LIMITS: description::FieldDescription = description::FieldDescription::required(
    "limits",
    description::ValueKind::Group(&group::LimitSettings::DESCRIPTION),
    "Limits on the connections, memory and time that callers' requests may use.",
)
.default_value(EMPTY_GROUP);

pub(crate) const TIMING: description::FieldDescription = description::FieldDescription::required(
    "timing",
    description::ValueKind::Group(&group::TimingSettings::DESCRIPTION),
    "Timeouts and intervals of the control group, of leases and of a planned shutdown.",
)
.default_value(EMPTY_GROUP);

pub(crate) const RETRY: description::FieldDescription = description::FieldDescription::required(
    "retry",
    description::ValueKind::Group(&group::RetrySettings::DESCRIPTION),
    "Retries of requests that did not run or that are safe to repeat.",
)
.default_value(EMPTY_GROUP);

const PLACEMENT: description::FieldDescription = description::FieldDescription::required(
    "placement",
    description::ValueKind::Group(&group::PlacementSettings::DESCRIPTION),
    "How replicas are loaded, kept loaded and selected.",
)
.default_value(EMPTY_GROUP);

pub(crate) const FENCING: description::FieldDescription = description::FieldDescription::required(
    "fencing",
    description::ValueKind::List(&description::ValueKind::Group(
        &group::FencingRule::DESCRIPTION,
    )),
    "Rules on which backend servers check fencing numbers, overriding their announcements; the first matching rule applies.",
)
.default_value(EMPTY_LIST);

/// The validated settings of one instance.
///
/// # Examples
///
/// ```
/// let text = r#"{
///     "cluster": "pwani",
///     "instance": {"name": "e1", "data_centre": "a", "region": "pwani", "roles": ["entry"]},
///     "listen": {
///         "callers": "10.0.0.1:8080", "backends": "10.0.0.1:8081",
///         "peers": "10.0.0.1:7100", "platform": "10.0.0.1:8082",
///     },
///     "peers": [{"name": "c1", "address": "10.0.0.2:7100", "data_centre": "a", "control": true}],
/// }"#;
/// let settings = galenahold_settings::InstanceSettings::from_text(text, "e1.jsonc")?;
/// assert_eq!(settings.timing.key_freshness().as_millis(), 3_000);
/// # Ok::<(), galenahold_settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The cluster's name.
    pub cluster: String,
    /// The instance's name, location and roles.
    pub instance: group::InstanceIdentity,
    /// Addresses that the instance listens on.
    pub listen: group::ListenSettings,
    /// Addresses that others connect to, if they differ from `listen`.
    pub advertise: group::AdvertiseSettings,
    /// Folder for the control state; present only with the role `control`.
    pub data_folder: Option<path::PathBuf>,
    /// The other instances known at start.
    pub peers: Vec<group::PeerSettings>,
    /// Peers from which the instance fetches the configuration instead of from the control group, in order.
    pub relay: Vec<name::InstanceName>,
    /// The operators who may use the operator HTTP API.
    pub operators: Vec<group::OperatorSettings>,
    /// Limits on the connections, memory and time that callers' requests may use.
    pub limits: group::LimitSettings,
    /// Timeouts and intervals of the control group, of leases and of a planned shutdown.
    pub timing: group::TimingSettings,
    /// Retries of requests.
    pub retry: group::RetrySettings,
    /// How replicas are loaded, kept loaded and selected.
    pub placement: group::PlacementSettings,
    /// Rules on which backend servers check fencing numbers.
    pub fencing: Vec<group::FencingRule>,
}

impl InstanceSettings {
    pub(crate) const DESCRIPTION: description::GroupDescription = description::GroupDescription {
        fields: &[
            CLUSTER,
            INSTANCE,
            LISTEN,
            ADVERTISE,
            DATA_FOLDER,
            PEERS,
            RELAY,
            OPERATORS,
            LIMITS,
            TIMING,
            RETRY,
            PLACEMENT,
            FENCING,
        ],
    };

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one with all problems if it is not valid.
    pub fn from_file(file: &path::Path) -> Result<Self, error::SettingsError> {
        let text = fs::read_to_string(file).context(error::UnreadableSnafu { file })?;
        Self::from_text(&text, &file.display().to_string())
    }

    /// Parses settings from a text; messages refer to the text as `file_name`.
    ///
    /// # Errors
    ///
    /// Returns an error with all problems if the text is not valid.
    pub fn from_text(text: &str, file_name: &str) -> Result<Self, error::SettingsError> {
        let mut reader = reader::SettingsReader::new(text);
        let root = reader.read(&Self::DESCRIPTION);
        if let Some(root) = &root {
            reader.extend(reader::ConsistencyCheck::new(root).problems());
        }
        let problems = reader.finish();
        let settings = root.as_ref().and_then(Self::from_group);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(error::SettingsError::Invalid {
                file: String::from(file_name),
                problems,
            }),
        }
    }

    /// Returns whether a backend server checks fencing numbers, given its announcement.
    ///
    /// The first matching rule overrides the announcement; without a rule or an announcement the server
    /// counts as not checking.
    #[must_use]
    pub fn checks_fencing(
        &self,
        server: &name::ServerName,
        data_centre: &name::DataCentreName,
        announced: Option<bool>,
    ) -> bool {
        let rule = self
            .fencing
            .iter()
            .find(|rule| rule.matches(server, data_centre));
        rule.map(|rule| rule.checks_fencing)
            .or(announced)
            .unwrap_or(false)
    }

    /// Returns the address that other instances connect to.
    #[must_use]
    pub fn peer_address(&self) -> net::SocketAddr {
        self.advertise.peers.unwrap_or(self.listen.peers)
    }

    fn from_group(root: &reader::ParsedGroup) -> Option<Self> {
        Some(Self {
            cluster: String::from(root.text(&CLUSTER)?),
            instance: group::InstanceIdentity::from_group(root.group(&INSTANCE)?)?,
            listen: group::ListenSettings::from_group(root.group(&LISTEN)?)?,
            advertise: group::AdvertiseSettings::from_group(root.group(&ADVERTISE)?),
            data_folder: root.text(&DATA_FOLDER).map(path::PathBuf::from),
            peers: groups_of(root, &PEERS, group::PeerSettings::from_group)?,
            relay: root
                .list(&RELAY)
                .iter()
                .map(|element| element.as_text().map(name::InstanceName::from))
                .collect::<Option<_>>()?,
            operators: groups_of(root, &OPERATORS, group::OperatorSettings::from_group)?,
            limits: group::LimitSettings::from_group(root.group(&LIMITS)?)?,
            timing: group::TimingSettings::from_group(root.group(&TIMING)?)?,
            retry: group::RetrySettings::from_group(root.group(&RETRY)?)?,
            placement: group::PlacementSettings::from_group(root.group(&PLACEMENT)?)?,
            fencing: groups_of(root, &FENCING, group::FencingRule::from_group)?,
        })
    }
}

fn groups_of<Group>(
    root: &reader::ParsedGroup,
    field: &description::FieldDescription,
    from_group: fn(&reader::ParsedGroup) -> Option<Group>,
) -> Option<Vec<Group>> {
    root.list(field)
        .iter()
        .map(|element| from_group(element.as_group()?))
        .collect()
}
