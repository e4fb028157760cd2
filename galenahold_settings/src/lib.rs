//! Loads and validates the settings of one instance from a file in JSON with comments.
//!
//! The reader reports all problems of a file at once, each with its position, the path of the field and
//! the allowed values. The crate opens no socket and creates no folder; it only reads the settings file.

mod description;
mod error;
mod group;
mod reader;

pub use description::ReferencePage;
pub use error::ProblemKind;
pub use error::SettingsError;
pub use error::SettingsErrorKind;
pub use error::SettingsProblem;
pub use error::TextPosition;
pub use group::AdvertiseSettings;
pub use group::FencingRule;
pub use group::InstanceIdentity;
pub use group::InstanceRole;
pub use group::InstanceSettings;
pub use group::KeepAlivePolicy;
pub use group::LimitSettings;
pub use group::ListenSettings;
pub use group::OperatorSettings;
pub use group::PeerSettings;
pub use group::PlacementSettings;
pub use group::ReplicaChoicePolicy;
pub use group::RetrySettings;
pub use group::TimingSettings;
pub use reader::parse_document;
