//! The settings of one instance.

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
    "Who the instance is.",
);

pub(crate) const LISTEN: description::FieldDescription = description::FieldDescription::required(
    "listen",
    description::ValueKind::Group(&group::ListenSettings::DESCRIPTION),
    "Where the instance listens.",
);

pub(crate) const ADVERTISE: description::FieldDescription =
    description::FieldDescription::required(
        "advertise",
        description::ValueKind::Group(&group::AdvertiseSettings::DESCRIPTION),
        "Which addresses others dial, where they differ from `listen`.",
    )
    .default_value(EMPTY_GROUP);

pub(crate) const DATA_FOLDER: description::FieldDescription =
    description::FieldDescription::required(
        "data_folder",
        description::ValueKind::Path,
        "Folder on a disk for the control state; required with the role `control`, forbidden without.",
    )
    .optional();

pub(crate) const PEERS: description::FieldDescription = description::FieldDescription::required(
    "peers",
    description::ValueKind::List(&description::ValueKind::Group(
        &group::PeerSettings::DESCRIPTION,
    )),
    "The other instances known at start; those of the control group have to be among them.",
)
.default_value(EMPTY_LIST);

pub(crate) const RELAY: description::FieldDescription = description::FieldDescription::required(
    "relay",
    description::ValueKind::List(&description::ValueKind::Name),
    "Names of peers to take the configuration from, in this order, instead of the control group; not with the role `control`.",
)
.default_value(EMPTY_LIST);

pub(crate) const OPERATORS: description::FieldDescription =
    description::FieldDescription::required(
        "operators",
        description::ValueKind::List(&description::ValueKind::Group(
            &group::OperatorSettings::DESCRIPTION,
        )),
        "The operators who may use the operators' face; required with `listen.operators`.",
    )
    .default_value(EMPTY_LIST);

pub(crate) const LIMITS: description::FieldDescription = description::FieldDescription::required(
    "limits",
    description::ValueKind::Group(&group::LimitSettings::DESCRIPTION),
    "Bounds on what callers can make the instance hold.",
)
.default_value(EMPTY_GROUP);

pub(crate) const TIMING: description::FieldDescription = description::FieldDescription::required(
    "timing",
    description::ValueKind::Group(&group::TimingSettings::DESCRIPTION),
    "Times of the control group, of leases and of a planned stop.",
)
.default_value(EMPTY_GROUP);

pub(crate) const RETRY: description::FieldDescription = description::FieldDescription::required(
    "retry",
    description::ValueKind::Group(&group::RetrySettings::DESCRIPTION),
    "How requests that did not run, or may be repeated, are sent again.",
)
.default_value(EMPTY_GROUP);

const PLACEMENT: description::FieldDescription = description::FieldDescription::required(
    "placement",
    description::ValueKind::Group(&group::PlacementSettings::DESCRIPTION),
    "How replicas are loaded, kept and chosen.",
)
.default_value(EMPTY_GROUP);

pub(crate) const FENCING: description::FieldDescription = description::FieldDescription::required(
    "fencing",
    description::ValueKind::List(&description::ValueKind::Group(
        &group::FencingRule::DESCRIPTION,
    )),
    "Which backend servers check fencing numbers, whatever they announce; the first rule that fits counts.",
)
.default_value(EMPTY_LIST);

/// The settings of one instance.
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
    /// Who the instance is.
    pub instance: group::InstanceIdentity,
    /// Where the instance listens.
    pub listen: group::ListenSettings,
    /// Which addresses others dial.
    pub advertise: group::AdvertiseSettings,
    /// Folder for the control state; there with the role control only.
    pub data_folder: Option<path::PathBuf>,
    /// The other instances known at start.
    pub peers: Vec<group::PeerSettings>,
    /// Peers to take the configuration from instead of the control group, in this order.
    pub relay: Vec<name::InstanceName>,
    /// The operators who may use the operators' face.
    pub operators: Vec<group::OperatorSettings>,
    /// Bounds on what callers can make the instance hold.
    pub limits: group::LimitSettings,
    /// Times of the control group, of leases and of a planned stop.
    pub timing: group::TimingSettings,
    /// How requests are sent again.
    pub retry: group::RetrySettings,
    /// How replicas are loaded, kept and chosen.
    pub placement: group::PlacementSettings,
    /// Which backend servers check fencing numbers.
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
    /// Fails where the file cannot be read, and with all of its problems where it has any.
    pub fn from_file(file: &path::Path) -> Result<Self, error::SettingsError> {
        let text = fs::read_to_string(file).context(error::UnreadableSnafu { file })?;
        Self::from_text(&text, &file.display().to_string())
    }

    /// Reads settings from a text; messages name the text as `file_name`.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the text where it has any.
    pub fn from_text(text: &str, file_name: &str) -> Result<Self, error::SettingsError> {
        let mut reader = reader::SettingsReader::new(text);
        let root = reader.read(&Self::DESCRIPTION);
        if let Some(root) = &root {
            reader.extend(reader::ContradictionCheck::new(root).problems());
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

    /// Tells whether a backend server checks fencing numbers, given what it announces.
    ///
    /// The first rule that fits goes before the announcement; without either it does not check.
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

    /// Returns the address that other instances dial.
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
