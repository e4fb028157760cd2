//! How backend servers make themselves known to the instances.

mod announce_settings;
mod announcement;
mod announcer;
mod cache_event;
mod cache_tier;
mod cached_model;
mod load_report;
mod loaded_model;
mod replica_state;
mod server_kind;

pub use announce_settings::AnnounceSettings;
pub use announcement::Announcement;
pub(crate) use announcer::{AnnouncedState, Announcer};
pub use cache_event::CacheEvent;
pub use cache_tier::CacheTier;
pub use cached_model::CachedModel;
pub use load_report::LoadReport;
pub use loaded_model::LoadedModel;
pub use replica_state::ReplicaState;
pub use server_kind::ServerKind;
