//! The messages in which backend servers report their state.

mod cache_event;
mod cached_checkpoint;
mod checkpoint_tier;
mod loaded_replica;
mod replica_state;
mod server_announcement;
mod server_kind;
mod server_load;

pub use cache_event::CacheEvent;
pub use cached_checkpoint::CachedCheckpoint;
pub use checkpoint_tier::CheckpointTier;
pub use loaded_replica::LoadedReplica;
pub use replica_state::ReplicaState;
pub use server_announcement::ServerAnnouncement;
pub use server_kind::ServerKind;
pub use server_load::ServerLoad;
