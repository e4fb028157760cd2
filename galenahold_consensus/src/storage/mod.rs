//! Durable storage of a member: identity, write-ahead log and snapshots in one data folder.

mod closed_segment;
mod file_backend;
mod folder_identity;
mod folder_lock;
mod framed_record;
mod log_store;
mod log_suffix;
mod opened_store;
mod record_codec;
mod record_error;
mod segment_file;
mod segment_reader;
mod segment_scan;
mod segment_start;
mod snapshot_store;
mod storage_backend;
mod storage_error;
mod storage_error_kind;
mod storage_file;
mod store_settings;
mod wal_record;
mod wal_replay;

pub use file_backend::FileBackend;
pub use folder_identity::FolderIdentity;
pub use log_store::LogStore;
pub use opened_store::OpenedStore;
pub use snapshot_store::SnapshotStore;
pub use storage_backend::StorageBackend;
pub use storage_error::StorageError;
pub use storage_error_kind::StorageErrorKind;
pub use storage_file::StorageFile;
pub use store_settings::StoreSettings;

use closed_segment::ClosedSegment;
use folder_lock::FolderLock;
use framed_record::FramedRecord;
use log_suffix::LogSuffix;
use record_codec::RecordCodec;
use record_error::RecordError;
use segment_file::SegmentFile;
use segment_reader::SegmentReader;
use segment_scan::SegmentScan;
use segment_start::SegmentStart;
use wal_record::WalRecord;
use wal_replay::WalReplay;
