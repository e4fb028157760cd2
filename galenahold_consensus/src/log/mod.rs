//! The replicated log: positions, entries, hard state and snapshots.

mod entry_payload;
mod hard_state;
mod log_entry;
mod log_index;
mod log_position;
mod raft_log;
mod snapshot_image;
mod snapshot_meta;
mod term;

pub use entry_payload::EntryPayload;
pub use hard_state::HardState;
pub use log_entry::LogEntry;
pub use log_index::LogIndex;
pub use log_position::LogPosition;
pub use raft_log::RaftLog;
pub use snapshot_image::SnapshotImage;
pub use snapshot_meta::SnapshotMeta;
pub use term::Term;
