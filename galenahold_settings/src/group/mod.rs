//! Typed settings, one type for each group of fields.

#[macro_use]
mod number_group;

pub(crate) mod advertise_settings;
pub(crate) mod fencing_rule;
pub(crate) mod instance_identity;
mod instance_role;
pub(crate) mod instance_settings;
mod keep_alive_policy;
mod limit_settings;
pub(crate) mod listen_settings;
pub(crate) mod operator_settings;
pub(crate) mod peer_settings;
mod placement_settings;
mod replica_choice_policy;
mod retry_settings;
mod timing_settings;

pub use advertise_settings::AdvertiseSettings;
pub use fencing_rule::FencingRule;
pub use instance_identity::InstanceIdentity;
pub use instance_role::InstanceRole;
pub use instance_settings::InstanceSettings;
pub use keep_alive_policy::KeepAlivePolicy;
pub use limit_settings::LimitSettings;
pub use listen_settings::ListenSettings;
pub use operator_settings::OperatorSettings;
pub use peer_settings::PeerSettings;
pub use placement_settings::PlacementSettings;
pub use replica_choice_policy::ReplicaChoicePolicy;
pub use retry_settings::RetrySettings;
pub use timing_settings::TimingSettings;
