//! How backend servers make themselves known to the instances.

mod announce_settings;
mod announcement;
mod announcer;

pub use announce_settings::AnnounceSettings;
pub use announcement::{
    Announcement, CacheEvent, CacheTier, CachedModel, LoadReport, LoadedModel, ReplicaState,
    ServerKind,
};
pub(crate) use announcer::{AnnouncedState, Announcer};
